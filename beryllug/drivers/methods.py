"""The RPC methods between the processes of all roles but `router`."""

from beryllug.core import (
    answer_data,
    lease_data,
    member_data,
    outage_data,
    rpc_data,
    suspects_data,
)
from beryllug.drivers import rpc

WATCH_VIEW = rpc.Method('WatchView', rpc_data.ViewRequest, rpc_data.ViewUpdate)
VIEW_SEEN = rpc.Method(
    'ViewSeen', suspects_data.SuspectsApplied, rpc_data.Empty
)
BEGIN = rpc.Method('Begin', rpc_data.IntentBatch, rpc_data.GrantBatch)
FINISH = rpc.Method('Finish', rpc_data.OutcomeBatch, rpc_data.Ack)
LOOKUP = rpc.Method('Lookup', rpc_data.LookupRequest, rpc_data.LookupReply)
CRASH = rpc.Method('Crash', rpc_data.CrashReport, rpc_data.Empty)
TRY_SUSPECT = rpc.Method(
    'TrySuspect', suspects_data.TrialRequest, suspects_data.TrialReply
)
END_SUSPECT = rpc.Method('EndSuspect', suspects_data.TrialEnd, rpc_data.Empty)
TELL_SUSPECTS = rpc.Method(
    'TellSuspects', suspects_data.Notes, suspects_data.Notes
)
EVIDENCE = rpc.Method('Evidence', rpc_data.EvidenceReport, rpc_data.Empty)
STORE_ANSWER = rpc.Method('StoreAnswer', answer_data.AnswerBody, rpc_data.Empty)
FETCH_ANSWER = rpc.Method(
    'FetchAnswer', answer_data.AnswerKey, answer_data.AnswerBody
)
OFFER_CONFIG = rpc.Method(
    'OfferConfig', rpc_data.ConfigOffer, rpc_data.ConfigOffer
)
FETCH_PARTS = rpc.Method(
    'FetchParts', rpc_data.PartsRequest, rpc_data.PartsReply
)

# Membership and leases.
HEARTBEAT = rpc.Method(
    'Heartbeat', member_data.Heartbeat, member_data.Heartbeat
)
PROBE = rpc.Method('Probe', member_data.ProbeRequest, member_data.ProbeReply)
LEASE_GIVEN = rpc.Method('LeaseGiven', lease_data.LeaseReleased, rpc_data.Empty)
STATUS = rpc.Method('Status', rpc_data.Empty, rpc_data.StatusReply)

# Platform outages.
PROMISE = rpc.Method(
    'Promise', outage_data.PromiseRequest, outage_data.PromiseReply
)
COPY = rpc.Method('Copy', outage_data.CopyRequest, outage_data.CopyReply)
FLUSHED = rpc.Method('Flushed', outage_data.FlushedRequest, rpc_data.Empty)
GATHER = rpc.Method(
    'Gather', outage_data.GatherRequest, outage_data.GatherReply
)
EVIDENCE_HELD = rpc.Method(
    'EvidenceHeld', rpc_data.EvidenceReport, rpc_data.Empty
)
ROLLOUT_PUSH = rpc.Method('RolloutPush', rpc_data.RolloutState, rpc_data.Empty)
ROLLOUT_PULL = rpc.Method(
    'RolloutPull', rpc_data.RolloutRequest, rpc_data.RolloutReply
)
