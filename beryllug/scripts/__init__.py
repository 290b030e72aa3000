"""Entry points: the daemons, the command-line tool and the demos.

They only wire and call the library.
"""
