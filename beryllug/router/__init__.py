"""Services of the role `router`, between callers and backend servers.

All durable data is in the platform's store. One process per host runs the whole
role. It keeps no state that it can't recover from the store, from its peers or
from its own requests.
"""
