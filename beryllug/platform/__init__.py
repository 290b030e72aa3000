"""What this deployment's platform speaks: names, formats and calls.

Everything here turns bytes and names of the platform into records of the
product and back. Nothing here decides, and nothing outside knows a name of
the platform.
"""
