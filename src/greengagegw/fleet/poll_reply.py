"""The reply of a control VM to a poll, as entry VMs receive it."""

import dataclasses
import typing
import zlib

from .. import errors
from .. import held_requests
from . import configuration as configurations
from . import instances as instance_list
from . import loads
from . import members
from . import origin_history
from ..ports import peers
from . import retry_records
from . import server_notices

if typing.TYPE_CHECKING:
    from . import agent as agents

DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    zlib.error,
    errors.ConfigurationError,
)
# Far above the size of a document that control VMs accept.
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
MAX_REASON_CHARACTERS = 500
EVACUATION_VALUES = frozenset(
    {
        'is_confirmed',
        'is_caught_up',
        'changes',
        'evacuated',
        'newest_order',
        'orders',
    }
)
EMPTY_REPLY = {
    'version': 0,
    'list_digest': 0,
    'list_age': 0.0,
    'entries_digest': 0,
    'controls': (),
    'leader': None,
    'loads': {},
}


@dataclasses.dataclass(frozen=True, slots=True)
class PollReply:
    """The state of the deployment, without what the entry VM has.

    :ivar is_confirmed: whether a majority confirmed that it is current.
    :ivar version: version of the configuration that the control VM holds.
    :ivar configuration: None if the entry VM has it.
    :ivar changes: number of effective commands that the reply reflects.
    :ivar list_age: seconds since the instance list was read.
    :ivar instances: by name; None if the entry VM has the list.
    :ivar entry_vms: None if the entry VM has them.
    :ivar hold_changes: number of commands that the holds reflect; -1 if the
        control VM is of an earlier release.
    :ivar holds: requests that are held back; None if the entry VM has them.
    :ivar history: what may have begun a stream; None if the entry VM has it or
        the control VM does not know it.
    :ivar notices: what servers asked for before the entry VM started.
    :ivar past_retries: retries before the entry VM started; None if it has
        them or the control VM does not know them.
    :ivar is_caught_up: whether the control VM has applied what its leader had
        committed when it was in touch with it; those of an earlier release do
        not tell.
    :ivar newest_order: index of the last order on an evacuation.
    :ivar orders: index of the last order, by failure domain; None if the entry
        VM has them.
    """

    is_confirmed: bool
    version: int
    configuration: configurations.Configuration | None
    changes: int
    evacuated_domains: frozenset[str]
    list_digest: int
    list_age: float
    instances: dict[str, instance_list.Instance] | None
    entry_vms_digest: int
    entry_vms: tuple[members.EntryVm, ...] | None
    control_vms: tuple[str, ...]
    leader: str | None
    loads: dict[str, dict[str, loads.RegionLoad]]
    hold_changes: int = -1
    holds: tuple[held_requests.Hold, ...] | None = None
    history: origin_history.OriginHistory | None = None
    past_retries: retry_records.PastRetries | None = None
    notices: server_notices.ServerNotices | None = None
    is_caught_up: bool = True
    newest_order: int = 0
    orders: dict[str, int] | None = None


def decode(
    reply: typing.Any, held_version: int, decode_document: 'agents.Decode'
) -> PollReply:
    """Returns a reply whose parts are all valid.

    :param held_version: version of the configuration that this VM has.
    :raises PeerProtocolError: if any part is malformed.
    """
    try:
        return _decode(reply, held_version, decode_document)
    except DECODE_ERRORS as error:
        raise errors.PeerProtocolError(
            f'a reply to a poll is malformed: {type(error).__name__}'
            f' {str(error)[:MAX_REASON_CHARACTERS]}'
        ) from error


def check_integer(value: typing.Any) -> int:
    """Returns a number that fits into a message, as it came in one.

    :raises TypeError: if it is not whole.
    """
    if type(value) is not int:
        raise TypeError(f'a {type(value).__name__} instead of a number')
    return value


def decompress(document: bytes) -> bytes:
    """Returns a document that control VMs store in compressed form.

    :raises ValueError: if it is too large.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(document, MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise ValueError('the document is cut short or too large')
    return content


def decode_evacuations(reply: typing.Any) -> PollReply:
    """Returns the evacuations of a reply of which another part is malformed.

    :returns: a reply whose other values are those of a VM without state.
    :raises PeerProtocolError: if the evacuations are malformed, too.
    """
    try:
        evacuations = {
            name: value
            for name, value in reply.items()
            if name in EVACUATION_VALUES
        }
        return _decode(EMPTY_REPLY | evacuations, 0, None)
    except DECODE_ERRORS as error:
        raise errors.PeerProtocolError(
            'the evacuations of a reply to a poll are malformed:'
            f' {type(error).__name__} {str(error)[:MAX_REASON_CHARACTERS]}'
        ) from error


def _decode(
    reply: dict[str, typing.Any],
    held_version: int,
    decode_document: 'agents.Decode | None',
) -> PollReply:
    configuration = instances = entry_vms = holds = None
    version = check_integer(reply['version'])
    leader = reply['leader']
    document = reply.get('document')
    if (
        document is not None
        and version > held_version
        and decode_document is not None
    ):
        configuration = decode_document(decompress(document))
    if 'instances' in reply:
        unpacked = instance_list.unpack_valid(reply['instances'])
        instances = {one.name: one for one in unpacked}
    if 'entries' in reply:
        entry_vms = tuple(
            members.EntryVm.unpack(one) for one in reply['entries']
        )
    orders = None
    if 'orders' in reply:
        orders = {
            peers.check_text(domain): check_integer(index)
            for domain, index in reply['orders'].items()
        }
    if 'holds' in reply:
        holds = tuple(
            held_requests.unpack_checked(one) for one in reply['holds']
        )
    return PollReply(
        bool(reply['is_confirmed']),
        version,
        configuration,
        check_integer(reply['changes']),
        frozenset(peers.check_text(one) for one in reply['evacuated']),
        check_integer(reply['list_digest']),
        peers.check_seconds(reply['list_age']),
        instances,
        check_integer(reply['entries_digest']),
        entry_vms,
        tuple(peers.check_text(one) for one in reply['controls']),
        None if leader is None else peers.check_text(leader),
        {
            peers.check_text(region): loads.unpack(one)
            for region, one in reply['loads'].items()
        },
        check_integer(reply.get('hold_changes', -1)),
        holds,
        origin_history.unpack_if_present(reply.get('history')),
        retry_records.unpack_if_present(reply.get('retries')),
        server_notices.unpack_if_present(reply.get('notices')),
        bool(reply.get('is_caught_up', True)),
        check_integer(reply.get('newest_order', 0)),
        orders,
    )
