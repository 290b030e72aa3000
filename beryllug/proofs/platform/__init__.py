"""Promises of the role `router`, on stand-ins that speak the platform's words.

Each failure is brought about, and what the caller and the backend servers see
of it is checked.
"""
