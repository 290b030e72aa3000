"""Parse external bytes and text into the records of `core`.

Every parser returns ``(value, findings)`` and reports all errors at once.
"""
