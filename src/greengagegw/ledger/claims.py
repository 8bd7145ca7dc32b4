"""Claims on calls that may run at most once.

A claim is replicated and synced before the call is sent. A repeat finds
the claim and gets the stored answer, or learns that the call is running or
that its outcome is unknown; it never runs the call again.
"""

import collections
import dataclasses
import enum
import typing

import msgpack

from .. import errors
from ..adapters import error_codec


class ClaimState(enum.StrEnum):
    """What is known of a claimed call."""

    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """One claim.

    :ivar digest: of the request, to tell a repeat from another request.
    :ivar request_id: of the request that made the claim.
    :ivar session: names the process that runs the call.
    :ivar at: seconds since the epoch, by the leader's clock.
    :ivar until: when a running call counts as unknown.
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
    """The state machine of a region's ledger.

    Claims are kept in order of their age.

    :param keep: seconds that a claim is kept.
    :param most: number of claims that are kept.
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
        name, at, arguments = msgpack.unpackb(content, raw=False)
        # The clock of a new leader may be behind; time here never is.
        self.now = max(self.now, at)
        self.expire()
        try:
            return {'value': self.commands[name](**arguments)}
        except errors.GatewayError as error:
            return {'error': error_codec.pack(error)}

    def expire(self) -> None:
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
        """Claims a call, or tells what became of it."""
        found = self.claims.get((organisation, key))
        if found is None:
            if len(self.claims) >= self.max_claims:
                raise errors.OverloadedError(
                    'the ledger holds as many claims as it may',
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
        if found.digest != digest:
            raise errors.IdempotencyMismatchError(
                'the idempotency key was used with another request'
            )
        if found.request_id == request_id:
            # The same command again, after a lost answer of the leader.
            return {'is_new': True}
        if found.state == ClaimState.RUNNING and self.now > found.until:
            found = self.update_claim(
                organisation, key, state=ClaimState.UNKNOWN
            )
        return {
            'is_new': False,
            'state': str(found.state),
            'answer': found.answer,
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
        """Stores the answer of a call, or that it is unknown."""
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
        """Drops the claim of a call that surely did not run."""
        if self.is_owner(organisation, key, request_id):
            claim = self.claims[organisation, key]
            if claim.state == ClaimState.RUNNING:
                del self.claims[organisation, key]

    def abandon(self, vm: str, session: str) -> int:
        """Marks what earlier processes of a VM left running as unknown."""
        left = [
            key
            for key, claim in self.claims.items()
            if claim.vm == vm
            and claim.session != session
            and claim.state == ClaimState.RUNNING
        ]
        for organisation, key in left:
            self.update_claim(organisation, key, state=ClaimState.UNKNOWN)
        return len(left)

    def save(self) -> bytes:
        claims = [
            [*key, *dataclasses.astuple(claim)]
            for key, claim in self.claims.items()
        ]
        return msgpack.packb([self.now, claims], use_bin_type=True)

    def restore(self, content: bytes) -> None:
        self.now, claims = msgpack.unpackb(content, raw=False)
        self.claims = collections.OrderedDict(
            ((one[0], one[1]), Claim(*one[2:])) for one in claims
        )


def encode_command(name: str, at: float, arguments: dict) -> bytes:
    """Returns a command for :meth:`LedgerState.apply`.

    :param at: seconds since the epoch.
    """
    return msgpack.packb([name, at, arguments], use_bin_type=True)
