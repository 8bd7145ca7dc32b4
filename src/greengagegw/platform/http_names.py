"""Names of the platform's headers and paths, in one place."""

REQUEST_ID = b'greengagegw-attempt-id'
# Milliseconds that the sender still waits.
DEADLINE_MS = b'greengagegw-deadline-ms'
PROMPT_SEGMENTS = b'greengagegw-prompt-prefix'
RESUME_AFTER = b'last-event-id'
# Proves that a backend server made the answer.
SERVER_STAMP = b'greengagegw-server-stamp'
ORGANISATION = b'greengagegw-tenant'
EXPECTED_INSTANCE = b'greengagegw-expect-instance'
# Running, waiting, slots.
INSTANCE_LOAD = b'greengagegw-instance-load'
NOT_EXECUTED = b'greengagegw-not-executed'
RETRY_AFTER = b'retry-after'
MODEL = b'greengagegw-model'
# Tokens of the prompt, most tokens of the output.
TOKEN_COUNTS = b'greengagegw-token-count'
# A caller's estimate of the output's tokens.
OUTPUT_LENGTH_HINT = b'greengagegw-length-hint'
PRIORITY = b'greengagegw-request-priority'
API_KEY = b'greengagegw-credential'

# A caller must not set what the gateway sets, nor steer an engine's memory.
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
# These concern one connection only (RFC 9110, section 7.6.1).
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
RESOLVE_PATH = '/-/resolve'
READY_PATH = '/-/readyz'
INSTANCES_TARGET = b'/instances'


def drop_hop_by_hop_headers(
    headers: list[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Returns headers without those that concern one connection."""
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == b'connection':
            dropped |= {one.strip().lower() for one in value.split(b',')}
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]
