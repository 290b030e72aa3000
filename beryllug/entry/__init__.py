"""Services of the ``entry`` role.

They own the client sockets and the connections to backend servers.
"""
