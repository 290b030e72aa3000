"""Services of the ``control`` role.

They own the platform connection, leases, the journal and the peers.
"""
