"""Mutual authentication of two VMs at the start of a peer connection.

Each side proves with an HMAC over both nonces that it has the shared secret of
the deployment, without sending the secret.
"""

import hashlib
import hmac
import secrets
import typing

import anyio.abc
import msgpack

from .. import errors
from . import frames

HANDSHAKE_TIMEOUT_SECONDS = 5.0
# Far more than the names and nonces of a handshake take.
MAX_FRAME_BYTES = 16 * 1024
MAX_DESCRIBED_CHARACTERS = 100


def compute_proof(secret: str, role: str, *parts: typing.Any) -> bytes:
    """Returns the HMAC that proves knowledge of the deployment's secret.

    :param role: ``dialler`` or ``listener``, so that neither side can send
        the other's proof back.
    :param parts: protocol version, names and nonces of the handshake.
    """
    content = msgpack.packb((role, *parts), use_bin_type=True)
    return hmac.new(secret.encode(), content, hashlib.sha256).digest()


def check_proof(proof: typing.Any, expected: bytes, peer: str) -> None:
    """Checks the proof of the other side in constant time.

    :raises PeerAuthenticationError: if it is not the expected one.
    """
    is_valid = isinstance(proof, bytes) and hmac.compare_digest(
        proof, expected
    )
    if not is_valid:
        raise errors.PeerAuthenticationError(
            f'the proof of {peer} does not match the peer secret'
        )


def describe(value: typing.Any) -> str:
    """Returns a number or a text, and of any other value its type.

    The text of a deeply nested value cannot be computed.
    """
    if isinstance(value, int | str):
        return repr(value)[:MAX_DESCRIBED_CHARACTERS]
    return f'a {type(value).__name__}'


def check_version(version: typing.Any) -> None:
    """Checks the protocol version of the other side.

    :raises PeerVersionError: if it differs from this side's.
    """
    if version != frames.PROTOCOL_VERSION:
        raise errors.PeerVersionError(
            f'the peer has protocol version {describe(version)} '
            f'instead of {frames.PROTOCOL_VERSION}'
        )


async def authenticate_as_dialler(
    socket: anyio.abc.ByteStream,
    reader: frames.FrameReader,
    deployment: str,
    own_vm: str,
    peer: str,
    secret: str,
) -> None:
    """Authenticates both sides of a connection that this VM opened.

    :param peer: name of the VM that should be at the other side.
    :raises PeerProtocolError: if the other side is not that VM.
    """
    own_nonce = secrets.token_bytes(16)
    version = frames.PROTOCOL_VERSION
    await socket.send(
        frames.encode(
            frames.Kind.HELLO, version, deployment, own_vm, own_nonce
        )
    )
    frame = await reader.receive()
    if frame.kind is not frames.Kind.CHALLENGE:
        raise errors.PeerProtocolError(
            f'{peer} sent {frame.kind.name} instead of CHALLENGE'
        )
    peer_version, name, peer_nonce, peer_proof = frame.values
    check_version(peer_version)
    parts = (version, deployment, own_vm, peer, own_nonce, peer_nonce)
    check_proof(peer_proof, compute_proof(secret, 'listener', *parts), peer)
    if name != peer:
        raise errors.PeerAuthenticationError(
            f'the VM at the address of {peer} is {describe(name)}'
        )
    own_proof = compute_proof(secret, 'dialler', *parts)
    await socket.send(frames.encode(frames.Kind.PROOF, own_proof))


async def authenticate_as_listener(
    socket: anyio.abc.ByteStream,
    reader: frames.FrameReader,
    deployment: str,
    own_vm: str,
    secret: str,
) -> str:
    """Authenticates both sides of a connection that a peer opened.

    :returns: the name of the peer.
    :raises PeerProtocolError: if the other side is not a peer.
    """
    frame = await reader.receive()
    if frame.kind is not frames.Kind.HELLO:
        raise errors.PeerProtocolError(
            f'the peer sent {frame.kind.name} instead of HELLO'
        )
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
        raise errors.PeerAuthenticationError(
            f'{peer!r} belongs to the deployment {describe(peer_deployment)}'
        )
    frame = await reader.receive()
    if frame.kind is not frames.Kind.PROOF:
        raise errors.PeerProtocolError(
            f'{peer!r} sent {frame.kind.name} instead of PROOF'
        )
    check_proof(
        frame.values[0], compute_proof(secret, 'dialler', *parts), peer
    )
    return peer
