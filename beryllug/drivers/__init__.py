"""Adapters for sockets and outside parties.

One module a party: when its wire format changes, one file changes.
"""
