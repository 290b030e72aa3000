"""The daemon and the command-line tool.

Thin programs over the library.
"""
