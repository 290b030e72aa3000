"""Header names and paths of the platform, in lower case for comparison."""

from beryllug.drivers import http_headers

ATTEMPT = 'beryllug-attempt-id'
DEADLINE = 'beryllug-deadline-ms'
EXPECT_INSTANCE = 'beryllug-expect-instance'
EXPECT_VERSION = 'beryllug-expect-version'
TENANT = 'beryllug-tenant'
MODEL = 'beryllug-model'
TOKENS = 'beryllug-token-counts'
PROMPT = 'beryllug-prompt-prefix'
LENGTH_HINT = 'beryllug-length-hint'
URGENCY = 'beryllug-request-urgency'
CONFIDENCE = 'beryllug-confidence'
# Digest of the whole answer; it shows callers that the server itself answered.
SEAL = 'beryllug-response-seal'
# The request was certainly not run; only this answer permits sending it again.
NOT_RUN = 'beryllug-not-executed'
INSTANCE = 'beryllug-instance-id'
VERSIONS = 'beryllug-weight-versions'
# How often the store has been restored from an older copy.
ERA = 'store-era'
# Requests a second that a server accepts from all processes together.
LIMIT = 'server-limit'
# The server shuts down soon and accepts no new requests.
LEAVING = 'server-leaving'
BRITTLE = 'server-brittle'
KV_FETCH = 'kv-fetch'
SESSION = 'session'
LAST_EVENT = 'last-event-id'
AUTHORIZATION = 'authorization'
RETRY_AFTER = 'retry-after'
CONTENT_ENCODING = 'content-encoding'
CONTENT_TYPE = 'content-type'
CONNECTION = 'connection'
EVENT_STREAM = 'text/event-stream'
BEARER = 'bearer '
ANY_MODEL = '*'

# What a server states of itself, ordered as `server_headers.HeaderValues`.
STATED = (LIMIT, LEAVING, RETRY_AFTER, BRITTLE)
# Answer headers that are read here, or are of use only to the caller.
_READ_HEADERS = (ATTEMPT, CONFIDENCE, ERA, INSTANCE, NOT_RUN, SEAL, VERSIONS)
ANSWER_HEADERS = http_headers.STANDARD.union(_READ_HEADERS, STATED)

READY_PATH = '/beryllug/ready'
OBJECTS_PATH = '/beryllug/objects'

NOT_RETURNED = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-authenticate',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Headers that callers must not pass through: they are hop-by-hop, or set by
# this process. A caller that sets them could reserve memory, or resume the
# request of another caller.
NOT_FORWARDED = NOT_RETURNED.union(
    (
        'expect',
        'proxy-authorization',
        AUTHORIZATION,
        DEADLINE,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        TENANT,
        URGENCY,
        'beryllug-hold',
        'beryllug-pin-ms',
        'beryllug-kv-backup',
        'kv-from',
        KV_FETCH,
    )
)
