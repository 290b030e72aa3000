"""The RPC methods between processes of the role `router`.

They are separate from `drivers.methods`, so that a process of this role does
not load the other roles' message types at startup without using them.
"""

from beryllug.core.peering import peering_data
from beryllug.drivers import rpc

COMPARE = rpc.Method('Compare', peering_data.Digest, peering_data.Digest)
