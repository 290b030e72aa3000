"""Small stand-ins for the outside parties.

They speak the published protocols and have fault switches for tests.
"""
