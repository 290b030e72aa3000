"""Semantic validations of a parsed document.

All validation functions are listed in one table and run in one pass, so that
all findings are reported together.
"""
