"""Turn bytes and text from outside into the records of core.

Every parser returns ``(value, errors)`` and reports all it finds.
"""
