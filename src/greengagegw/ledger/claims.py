"""Claims on idempotency keys, so that a call runs at most once.

A claim is replicated and synced to disk before the call is sent. A repeated
request finds the claim and gets the stored response, or an error if the call
is still running or its outcome is unknown; it never runs the call again.
"""

import collections
import dataclasses
import enum
import typing

import msgpack

from .. import errors
from ..adapters import error_codec


class ClaimState(enum.StrEnum):
    """State of a claimed call.

    An ``UNKNOWN`` call may or may not have run.
    """

    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The claim of one request on an idempotency key.

    Snapshots store the fields by position.

    :ivar digest: digest of the call, to distinguish a retry from another call.
    :ivar request_id: id of the request that made the claim.
    :ivar vm: VM that runs the call.
    :ivar session: id of the process that runs the call.
    :ivar at: seconds since the epoch on the leader's clock, at the claim.
    :ivar until: seconds since the epoch after which a running call counts
        as unknown.
    :ivar answer: status, headers and body of the response once it is done.
    """

    digest: str
    request_id: str
    vm: str
    session: str
    at: float
    until: float
    state: str = ClaimState.RUNNING
    answer: tuple | None = None


class LedgerState:
    """The replicated state machine of a region's claims.

    Claims are ordered by age, the oldest first.

    :param keep_seconds: how long a claim is kept.
    :param max_claims: number of claims above which new ones are rejected.
    """

    def __init__(self, keep_seconds: float, max_claims: int) -> None:
        self.keep_seconds = keep_seconds
        self.max_claims = max_claims
        self.now = 0.0
        self.claims: collections.OrderedDict[tuple[str, str], Claim] = (
            collections.OrderedDict()
        )
        self.commands = {
            'claim': self.claim,
            'finish': self.finish,
            'release': self.release,
            'abandon': self.abandon,
        }

    def apply(self, content: bytes) -> dict[str, typing.Any]:
        """Applies a command made by :func:`encode_command`.

        :returns: ``value`` with the result, or ``error`` with a packed
            error.
        """
        name, at, arguments = msgpack.unpackb(content, raw=False)
        # The clock of a new leader may be behind; the ledger's time never
        # goes back.
        self.now = max(self.now, at)
        self.expire()
        try:
            return {'value': self.commands[name](**arguments)}
        except errors.GatewayError as error:
            return {'error': error_codec.pack(error)}

    def expire(self) -> None:
        """Removes claims older than ``keep_seconds``."""
        while self.claims:
            key, claim = next(iter(self.claims.items()))
            if claim.at + self.keep_seconds > self.now:
                return
            del self.claims[key]

    def claim(
        self,
        organisation: str,
        key: str,
        digest: str,
        request_id: str,
        vm: str,
        session: str,
        seconds: float,
    ) -> dict[str, typing.Any]:
        """Claims a key, or returns the state of its earlier claim.

        :param seconds: how long the call may run.
        :returns: ``is_new``, and for an earlier claim its ``state`` and
            ``answer``.
        :raises OverloadedError: if the ledger is full.
        :raises IdempotencyMismatchError: if the key was claimed for a call
            with another digest.
        """
        existing = self.claims.get((organisation, key))
        if existing is None:
            if len(self.claims) >= self.max_claims:
                raise errors.OverloadedError(
                    f'the ledger holds {len(self.claims)} claims, its limit is'
                    f' {self.max_claims}',
                    retry_after=60,
                )
            self.claims[organisation, key] = Claim(
                digest,
                request_id,
                vm,
                session,
                self.now,
                self.now + seconds,
            )
            return {'is_new': True}
        if existing.digest != digest:
            raise errors.IdempotencyMismatchError(
                'the idempotency key was used before with a different request'
            )
        if existing.request_id == request_id:
            # The command was submitted again because the leader's reply was
            # lost.
            return {'is_new': True}
        if existing.state == ClaimState.RUNNING and self.now > existing.until:
            existing = self.update_claim(
                organisation, key, state=ClaimState.UNKNOWN
            )
        return {
            'is_new': False,
            'state': str(existing.state),
            'answer': existing.answer,
        }

    def update_claim(
        self, organisation: str, key: str, **changes: object
    ) -> Claim:
        claim = dataclasses.replace(self.claims[organisation, key], **changes)
        self.claims[organisation, key] = claim
        return claim

    def is_owner(self, organisation: str, key: str, request_id: str) -> bool:
        claim = self.claims.get((organisation, key))
        return claim is not None and claim.request_id == request_id

    def finish(
        self,
        organisation: str,
        key: str,
        request_id: str,
        answer: list | None,
    ) -> None:
        """Stores the response of a call, or that its outcome is unknown.

        Ignored unless the request owns the claim.

        :param answer: status, headers and body; None if it is unknown.
        """
        if not self.is_owner(organisation, key, request_id):
            return
        if answer is None:
            self.update_claim(organisation, key, state=ClaimState.UNKNOWN)
        else:
            self.update_claim(
                organisation,
                key,
                state=ClaimState.DONE,
                answer=tuple(answer),
            )

    def release(self, organisation: str, key: str, request_id: str) -> None:
        """Removes the claim of a call that did not run.

        Ignored unless the request owns the claim and the call is running.
        """
        if self.is_owner(organisation, key, request_id):
            claim = self.claims[organisation, key]
            if claim.state == ClaimState.RUNNING:
                del self.claims[organisation, key]

    def abandon(self, vm: str, session: str) -> int:
        """Marks the running calls of a VM's earlier processes as unknown.

        :param session: id of the VM's current process.
        :returns: number of calls marked.
        """
        abandoned = [
            key
            for key, claim in self.claims.items()
            if claim.vm == vm
            and claim.session != session
            and claim.state == ClaimState.RUNNING
        ]
        for organisation, key in abandoned:
            self.update_claim(organisation, key, state=ClaimState.UNKNOWN)
        return len(abandoned)

    def save(self) -> bytes:
        """Returns a snapshot of the state for :meth:`restore`."""
        claims = [
            [*key, *dataclasses.astuple(claim)]
            for key, claim in self.claims.items()
        ]
        return msgpack.packb([self.now, claims], use_bin_type=True)

    def restore(self, content: bytes) -> None:
        """Replaces the state by a snapshot."""
        self.now, claims = msgpack.unpackb(content, raw=False)
        self.claims = collections.OrderedDict(
            ((one[0], one[1]), Claim(*one[2:])) for one in claims
        )


def encode_command(name: str, at: float, arguments: dict) -> bytes:
    """Returns an encoded command for :meth:`LedgerState.apply`.

    :param name: name of the command.
    :param at: seconds since the epoch.
    :param arguments: keyword arguments of the command.
    """
    return msgpack.packb([name, at, arguments], use_bin_type=True)
