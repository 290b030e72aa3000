"""Request routing: route, target service, priority and permitted retries.

Determined from the host, path and key of a request, by the newest route table
that this process has accepted.
"""
