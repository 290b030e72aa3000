"""Semantic validations of a parsed document.

Each is a function of a listed table, so that one pass reports them all.
"""
