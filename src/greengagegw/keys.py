"""Callers' keys: made once, shown once, kept as digests."""

import dataclasses
import hashlib
import hmac
import re
import secrets

from . import errors

# A key reads gg-<id>-<secret>. The secret has 256 bits, so a plain digest
# needs no salt and no slow hash.
KEY_PATTERN = re.compile(r'gg-([0-9a-f]{12})-([0-9a-f]{64})\Z')


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """What the deployment keeps of a key."""

    id: str
    digest: str
    organisation: str
    given_at: float


def generate_key() -> tuple[str, str, str]:
    """Returns a new key as its id, the key itself and its digest."""
    key_id = secrets.token_hex(6)
    key = f'gg-{key_id}-{secrets.token_hex(32)}'
    return key_id, key, digest(key)


def digest(key: str) -> str:
    """Returns the digest under which a key is kept, in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def check_key(
    key: str, records: dict[str, KeyRecord], withdrawn: set[str]
) -> KeyRecord:
    """Returns the record of a key that may be used now.

    :param key: what the caller presented.
    :param records: the given keys by id.
    :param withdrawn: ids of the keys that were withdrawn.
    :raises AuthenticationError: if the key was never given.
    :raises WithdrawnKeyError: if the key was withdrawn.
    """
    match = KEY_PATTERN.match(key)
    if match is None:
        raise errors.AuthenticationError('the key is not of the known form')
    record = records.get(match[1])
    expected = record.digest if record else '0' * 64
    if not hmac.compare_digest(digest(key), expected):
        raise errors.AuthenticationError('the key is not known')
    if record.id in withdrawn:
        raise errors.WithdrawnKeyError('the key was withdrawn')
    return record
