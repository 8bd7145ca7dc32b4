"""Checks of the replies of peers to the calls of a replica.

Each function returns the reply in the form in which it was sent. It raises
one of MALFORMED_REPLY_ERRORS if the reply is malformed.
"""

import typing

from . import entries as log_entries
from ..ports import peers

MALFORMED_REPLY_ERRORS = (TypeError, ValueError, LookupError, AttributeError)


def accept_any(reply: typing.Any) -> typing.Any:
    """Returns any reply, for callers that do not read it."""
    return reply


def check_vote(reply: typing.Any) -> list:
    """Checks the term, whether the vote is granted, and the incarnation."""
    term, is_granted, incarnation = reply
    peers.check_count(term)
    check_flag(is_granted)
    peers.check_text(incarnation)
    return reply


def check_append(reply: typing.Any) -> list:
    """Checks the reply to entries or a heartbeat.

    The hint is negative if a member rejects the first entry.
    """
    term, is_accepted, index_hint, incarnation = reply
    peers.check_count(term)
    check_flag(is_accepted)
    if type(index_hint) is not int:
        raise TypeError('the index of a hint is not whole')
    peers.check_text(incarnation)
    return reply


def check_snapshot(reply: typing.Any) -> list:
    """Checks the term, and whether the chunk is accepted."""
    term, is_accepted = reply
    peers.check_count(term)
    check_flag(is_accepted)
    return reply


def check_export(reply: typing.Any) -> list:
    """Checks the applied state of a memory replica."""
    index, index_term, term, state = reply
    for one in (index, index_term, term):
        peers.check_count(one)
    if not isinstance(state, bytes):
        raise TypeError('an exported state is not bytes')
    return reply


def check_identity(reply: typing.Any) -> dict:
    """Checks what a peer knows; an earlier release leaves out two fields."""
    peers.check_text(reply['incarnation'])
    check_members(reply['founders'])
    check_members(reply['members'])
    peers.check_count(reply['members_index'])
    if reply['leader'] is not None:
        peers.check_text(reply['leader'])
    check_flag(reply['is_stale'])
    peers.check_count(reply.get('term', 0))
    check_flag(reply.get('are_members_committed', False))
    return reply


def check_leave(reply: typing.Any) -> dict:
    check_flag(reply['is_voter'])
    check_flag(reply['is_removable'])
    return reply


def check_members(values: typing.Any) -> None:
    for member in log_entries.Members.unpack(values).members:
        peers.check_text(member.vm)
        peers.check_text(member.incarnation)
        check_flag(member.is_voter)


def check_flag(value: typing.Any) -> None:
    if type(value) is not bool:
        raise TypeError(f'a {type(value).__name__} instead of a flag')
