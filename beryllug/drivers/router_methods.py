"""The methods that processes of the role `router` call on one another.

They stand apart from those of the other roles, whose records a process of this
role would load at its start for nothing.
"""

from beryllug.core.peering import peering_data
from beryllug.drivers import rpc

COMPARE = rpc.Method('Compare', peering_data.Digest, peering_data.Digest)
