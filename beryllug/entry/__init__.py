"""Services of the ``entry`` role.

They own the sockets of callers and the connections to backend servers.
"""
