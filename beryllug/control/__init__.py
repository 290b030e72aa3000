"""Services of the ``control`` role.

They manage the platform connection, the leases, the request journal and the
connections to peer control processes.
"""
