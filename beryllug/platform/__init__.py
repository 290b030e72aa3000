"""Adapter to this deployment's platform: its names, formats and calls.

Translates the platform's bytes and names into records of this package and back.
It makes no decisions, and no other package uses a name of the platform.
"""
