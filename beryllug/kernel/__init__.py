"""The micro-kernel: services that find each other by name.

It starts, stops and dumps services and knows nothing of their work.
"""
