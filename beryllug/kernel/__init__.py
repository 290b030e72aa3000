"""The service kernel: a registry of named services and what they all need.

It starts, stops and dumps services, and has no knowledge of their work.
"""
