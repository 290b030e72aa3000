"""Services of the role `router`: callers on one side, backend servers on the
other, and the platform's store for all that must last.

One process a host holds the whole role. It keeps nothing that it can't learn
again from the store, its peers or its own requests.
"""
