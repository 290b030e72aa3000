"""Proofs of the promises with real processes on loopback.

Each checks the record of the other side, not our own counters.
"""
