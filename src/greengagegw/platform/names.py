"""Names of the platform's headers and paths, in one place."""

REQUEST_ID = b'greengagegw-attempt-id'
# Milliseconds that the sender still waits.
TIME_LEFT = b'greengagegw-deadline-ms'
PROMPT_PARTS = b'greengagegw-prompt-prefix'
RESUME_AFTER = b'last-event-id'
# Proves that a backend server made the answer.
SIGNATURE = b'greengagegw-server-stamp'
ORGANISATION = b'greengagegw-tenant'
EXPECTED_INSTANCE = b'greengagegw-expect-instance'
# Running, waiting, slots.
LOAD = b'greengagegw-instance-load'
NOT_RUN = b'greengagegw-not-executed'
RETRY_AFTER = b'retry-after'
MODEL = b'greengagegw-model'
# Tokens of the prompt, most tokens of the output.
TOKENS = b'greengagegw-token-count'
# A caller's estimate of the output's tokens.
LENGTH_HINT = b'greengagegw-length-hint'
PRIORITY = b'greengagegw-request-priority'
KEY = b'greengagegw-credential'

# A caller must not set what the gateway sets, nor steer an engine's memory.
SET_BY_GATEWAY = frozenset(
    {
        KEY,
        TIME_LEFT,
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
ONE_CONNECTION = frozenset(
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


def drop_one_connection(
    headers: list[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Returns headers without those that concern one connection."""
    dropped = set(ONE_CONNECTION)
    for name, value in headers:
        if name.lower() == b'connection':
            dropped |= {one.strip().lower() for one in value.split(b',')}
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]
