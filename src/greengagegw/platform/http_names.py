"""Names of headers and paths in the platform's HTTP interfaces."""

REQUEST_ID = b'greengagegw-attempt-id'
# Milliseconds until the sender's timeout.
DEADLINE_MS = b'greengagegw-deadline-ms'
PROMPT_SEGMENTS = b'greengagegw-prompt-prefix'
RESUME_AFTER = b'last-event-id'
# Request ID of the attempt that received the first event of a stream.
RESUMED_REQUEST = b'resumes'
# Signature that proves that a response comes from a backend server.
SERVER_STAMP = b'greengagegw-server-stamp'
ORGANISATION = b'greengagegw-tenant'
EXPECTED_INSTANCE = b'greengagegw-expect-instance'
# Running requests, waiting requests and slots of the instance.
INSTANCE_LOAD = b'greengagegw-instance-load'
NOT_EXECUTED = b'greengagegw-not-executed'
RETRY_AFTER = b'retry-after'
# '1' in every response of a backend server that is about to leave.
SERVER_LEAVING = b'server-leaving'
# Requests a second that a backend server takes from all VMs together.
SERVER_LIMIT = b'server-limit'
# Requests that a brittle backend server can reject in a second.
SERVER_BRITTLE = b'server-brittle'
MODEL = b'greengagegw-model'
# Tokens of the prompt and maximum tokens of the output.
TOKEN_COUNTS = b'greengagegw-token-count'
# A client's estimate of the number of output tokens.
OUTPUT_LENGTH_HINT = b'greengagegw-length-hint'
PRIORITY = b'greengagegw-request-priority'
API_KEY = b'greengagegw-credential'

# Headers that are dropped from a client's request, because the gateway sets
# them itself or because they control an engine's KV cache.
GATEWAY_HEADERS = frozenset(
    {
        API_KEY,
        DEADLINE_MS,
        ORGANISATION,
        EXPECTED_INSTANCE,
        PRIORITY,
        RESUME_AFTER,
        b'greengagegw-expect-version',
        b'greengagegw-pin-ms',
        b'greengagegw-hold',
        b'greengagegw-kv-backup',
        b'kv-from',
        b'kv-fetch',
    }
)
# Headers of a client's request that no backend server gets unchanged.
DROPPED_HEADERS = GATEWAY_HEADERS | {b'content-length'}
# Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    }
)

CONFIGURATION_PATH = '/-/config'
EVACUATION_PATH = '/-/evacuations/'
# Not in the platform's protocol: requests that are held back.
HOLDS_PATH = '/-/held-prompts'
RESOLVE_PATH = '/-/resolve'
READY_PATH = '/-/readyz'
INSTANCES_TARGET = b'/instances'


def drop_hop_by_hop_headers(
    headers: list[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Returns the headers without the hop-by-hop ones.

    Headers that a Connection header names are hop-by-hop as well.
    """
    dropped = HOP_BY_HOP_HEADERS
    kept = []
    for one in headers:
        name = one[0].lower()
        if name == b'connection':
            dropped = dropped.union(
                part.strip().lower() for part in one[1].split(b',')
            )
        if name not in dropped:
            kept.append(one)
    if dropped is HOP_BY_HOP_HEADERS:
        return kept
    # A Connection header may name one that came before it.
    return [one for one in kept if one[0].lower() not in dropped]
