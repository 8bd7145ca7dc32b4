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


def compute_proof(secret: str, role: str, *parts: typing.Any) -> bytes:
    """Returns the proof that an end knows the secret of the deployment."""
    text = msgpack.packb((role, *parts), use_bin_type=True)
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()


def check_proof(found: typing.Any, expected: bytes, peer: str) -> None:
    """Checks the proof of the other end in constant time.

    :raises PeerAuthenticationError: if it is not the expected one.
    """
    is_valid = isinstance(found, bytes) and hmac.compare_digest(
        found, expected
    )
    if not is_valid:
        raise errors.PeerAuthenticationError(f'{peer} has another secret')


def check_version(version: typing.Any) -> None:
    """Checks the protocol version of the other end.

    :raises PeerVersionError: if it is not the version of this end.
    """
    if version != frames.PROTOCOL_VERSION:
        raise errors.PeerVersionError(
            f'protocol version {version!r}, not {frames.PROTOCOL_VERSION}'
        )


async def authenticate_as_dialler(
    socket: anyio.abc.ByteStream,
    reader: frames.FrameReader,
    deployment: str,
    own_vm: str,
    peer: str,
    secret: str,
) -> None:
    """Authenticates both ends, from the side that connected.

    :raises PeerProtocolError: if the other end is not the peer.
    """
    nonce = secrets.token_bytes(16)
    version = frames.PROTOCOL_VERSION
    await socket.send(
        frames.encode(frames.Kind.HELLO, version, deployment, own_vm, nonce)
    )
    frame = await reader.receive()
    if frame.kind is not frames.Kind.CHALLENGE:
        raise errors.PeerProtocolError('no challenge')
    peer_version, name, peer_nonce, peer_proof = frame.values
    check_version(peer_version)
    parts = (version, deployment, own_vm, peer, nonce, peer_nonce)
    check_proof(peer_proof, compute_proof(secret, 'listener', *parts), peer)
    if name != peer:
        raise errors.PeerAuthenticationError(f'{name} answers as {peer}')
    own_proof = compute_proof(secret, 'dialler', *parts)
    await socket.send(frames.encode(frames.Kind.PROOF, own_proof))


async def authenticate_as_listener(
    socket: anyio.abc.ByteStream,
    reader: frames.FrameReader,
    deployment: str,
    own_vm: str,
    secret: str,
) -> str:
    """Authenticates both ends, from the side that was connected to.

    :returns: the name of the peer.
    :raises PeerProtocolError: if the other end is not a peer.
    """
    frame = await reader.receive()
    if frame.kind is not frames.Kind.HELLO:
        raise errors.PeerProtocolError('no hello')
    peer_version, peer_deployment, peer, peer_nonce = frame.values
    version = frames.PROTOCOL_VERSION
    own_nonce = secrets.token_bytes(16)
    parts = (version, deployment, peer, own_vm, peer_nonce, own_nonce)
    own_proof = compute_proof(secret, 'listener', *parts)
    await socket.send(
        frames.encode(
            frames.Kind.CHALLENGE, version, own_vm, own_nonce, own_proof
        )
    )
    check_version(peer_version)
    if peer_deployment != deployment:
        raise errors.PeerAuthenticationError('a peer of other deployment')
    frame = await reader.receive()
    if frame.kind is not frames.Kind.PROOF:
        raise errors.PeerProtocolError('no proof')
    check_proof(
        frame.values[0], compute_proof(secret, 'dialler', *parts), peer
    )
    return peer
