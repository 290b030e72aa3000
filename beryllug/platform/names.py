"""Header names and paths of the platform, in lower case as we compare them."""

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
# A digest of the whole answer, by which callers tell that it is the server's.
SEAL = 'beryllug-response-seal'
# "Surely not run": the one answer that permits to send the request again.
NOT_RUN = 'beryllug-not-executed'
INSTANCE = 'beryllug-instance-id'
VERSIONS = 'beryllug-weight-versions'
# How often the store has returned from an older copy.
ERA = 'store-era'
# Requests a second that a server takes from all processes together.
LIMIT = 'server-limit'
# The server stops soon and wants no new requests.
LEAVING = 'server-leaving'
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

# What a server states of itself, in the order of `statements.Texts`.
STATED = (LIMIT, LEAVING, RETRY_AFTER)
# Headers of answers that are read, or that only their caller has a use for.
_READ = (ATTEMPT, CONFIDENCE, ERA, INSTANCE, NOT_RUN, SEAL, VERSIONS)
ANSWER_HEADERS = http_headers.STANDARD.union(_READ, STATED)

READY_PATH = '/beryllug/ready'
OBJECTS_PATH = '/beryllug/objects'

# Of these only the sender of a request may speak to its next receiver: they
# concern one connection, or they are ours to set. A caller that sets them
# would reserve memory, or go on from another request's.
NOT_FORWARDED = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
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
        'kv-fetch',
    )
)
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
