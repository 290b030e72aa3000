"""In-process stand-ins for the external services.

They implement the published protocols and inject faults for tests.
"""
