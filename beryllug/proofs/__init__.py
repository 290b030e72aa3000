"""End-to-end tests of the guarantees, with real processes on loopback.

Each test checks the records of the stand-ins rather than the counters of the
system under test.
"""
