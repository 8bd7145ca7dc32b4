"""How two VMs make sure of each other before they exchange frames."""

import hashlib
import hmac
import secrets
import typing

import anyio.abc
import msgpack

from .. import errors
from . import frames

HANDSHAKE_SECONDS = 5.0


def proof(secret: str, role: str, *parts: typing.Any) -> bytes:
    """Returns the proof that an end knows the secret of the deployment."""
    text = msgpack.packb((role, *parts), use_bin_type=True)
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()


def check_proof(found: typing.Any, expected: bytes, peer: str) -> None:
    """Checks the proof of the other end in constant time.

    :raises PeerAuthenticationError: if it is not the expected one.
    """
    is_right = isinstance(found, bytes) and hmac.compare_digest(
        found, expected
    )
    if not is_right:
        raise errors.PeerAuthenticationError(f'{peer} has another secret')


def check_version(version: typing.Any) -> None:
    """Checks the protocol version of the other end.

    :raises PeerVersionError: if it is not the version of this end.
    """
    if version != frames.PROTOCOL_VERSION:
        raise errors.PeerVersionError(
            f'protocol version {version!r}, not {frames.PROTOCOL_VERSION}'
        )


async def shake_hands_as_dialler(
    socket: anyio.abc.ByteStream,
    reader: frames.FrameReader,
    deployment: str,
    me: str,
    peer: str,
    secret: str,
) -> None:
    """Authenticates both ends, from the side that connected.

    :raises PeerProtocolError: if the other end is not the peer.
    """
    nonce = secrets.token_bytes(16)
    version = frames.PROTOCOL_VERSION
    await socket.send(
        frames.encode(frames.Kind.HELLO, version, deployment, me, nonce)
    )
    frame = await reader.receive()
    if frame.kind is not frames.Kind.CHALLENGE:
        raise errors.PeerProtocolError('no challenge')
    their_version, name, their_nonce, their_proof = frame.values
    check_version(their_version)
    parts = (version, deployment, me, peer, nonce, their_nonce)
    check_proof(their_proof, proof(secret, 'listener', *parts), peer)
    if name != peer:
        raise errors.PeerAuthenticationError(f'{name} answers as {peer}')
    mine = proof(secret, 'dialler', *parts)
    await socket.send(frames.encode(frames.Kind.PROOF, mine))


async def shake_hands_as_listener(
    socket: anyio.abc.ByteStream,
    reader: frames.FrameReader,
    deployment: str,
    me: str,
    secret: str,
) -> str:
    """Authenticates both ends, from the side that was connected to.

    :returns: the name of the peer.
    :raises PeerProtocolError: if the other end is not a peer.
    """
    frame = await reader.receive()
    if frame.kind is not frames.Kind.HELLO:
        raise errors.PeerProtocolError('no hello')
    their_version, their_deployment, peer, nonce = frame.values
    version = frames.PROTOCOL_VERSION
    mine = secrets.token_bytes(16)
    parts = (version, deployment, peer, me, nonce, mine)
    answer = proof(secret, 'listener', *parts)
    await socket.send(
        frames.encode(frames.Kind.CHALLENGE, version, me, mine, answer)
    )
    check_version(their_version)
    if their_deployment != deployment:
        raise errors.PeerAuthenticationError('a peer of other deployment')
    frame = await reader.receive()
    if frame.kind is not frames.Kind.PROOF:
        raise errors.PeerProtocolError('no proof')
    check_proof(frame.values[0], proof(secret, 'dialler', *parts), peer)
    return peer
