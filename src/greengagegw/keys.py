"""API keys of clients, shown once when issued and stored as digests."""

import dataclasses
import hashlib
import hmac
import re
import secrets

from . import errors

# gg-<id>-<secret>. The secret has 256 bits of entropy, so SHA-256 without a
# salt or key stretching is safe.
KEY_PATTERN = re.compile(r'gg-([0-9a-f]{12})-([0-9a-f]{64})\Z')


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """A stored key.

    :ivar digest: SHA-256 of the key, in hex.
    :ivar given_at: seconds since the epoch at which the key was issued.
    """

    id: str
    digest: str
    organisation: str
    given_at: float


def generate_key() -> tuple[str, str, str]:
    """Returns the id, the text and the digest of a new key."""
    key_id = secrets.token_hex(6)
    key = f'gg-{key_id}-{secrets.token_hex(32)}'
    return key_id, key, digest(key)


def digest(key: str) -> str:
    """Returns the SHA-256 digest of a key, in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def check_key(
    key: str, records: dict[str, KeyRecord], withdrawn: set[str]
) -> KeyRecord:
    """Returns the record of a valid key.

    :param key: the key that the client sent.
    :param records: the issued keys by id.
    :param withdrawn: ids of the withdrawn keys.
    :raises AuthenticationError: if no such key was issued.
    :raises WithdrawnKeyError: if the key was withdrawn.
    """
    match = KEY_PATTERN.match(key)
    if match is None:
        raise errors.AuthenticationError('the key is malformed')
    record = records.get(match[1])
    expected = record.digest if record else '0' * 64
    if not hmac.compare_digest(digest(key), expected):
        raise errors.AuthenticationError('the key is unknown')
    if record.id in withdrawn:
        raise errors.WithdrawnKeyError('the key was withdrawn')
    return record
