"""Adapters for sockets and external services.

Each service has one module, so a change of its wire format changes one file.
"""
