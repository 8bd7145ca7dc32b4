"""HTTP client for the platform's list of backend servers."""

import dataclasses
import math
import re
import reprlib
import ssl
import typing
import urllib.parse

import anyio
import anyio.lowlevel
import anyio.to_thread
from boltons import iterutils
import eliot
import httpcore
import orjson

from .. import errors
from .. import timers as timer_service
from ..adapters import backend_transport
from ..adapters import json_splitting
from ..fleet import instances
from . import http_names
from . import settings as platform_settings

READ_TIMEOUT_SECONDS = 1.0
KEEP_ALIVE_SECONDS = 5.0
MAX_PAGES = 200
MAX_PAGE_BYTES = 4 * 1024 * 1024
READY_STATE = 'ready'
DRAINING_STATE = 'draining'
INSTANCES_BEGIN = re.compile(rb'"instances"\s*:\s*\[')
NEXT_TOKEN = re.compile(rb'"nextToken"\s*:\s*(null|"(?:[^"\\]++|\\.)*+")')
# A list that stays odd must not fill the log.
LOG_INTERVAL_SECONDS = 60.0
MAX_LOGGED_ENTRIES = 20
# Entries that are decoded before other tasks get their turn.
ENTRIES_AT_ONCE = 1000
MAX_DESCRIBED_CHARACTERS = 200
# Describes nested and long values by their beginning, without recursion
# beyond a few levels.
ENTRY_REPR = reprlib.Repr()
ENTRY_REPR.maxdict = 12


class InstanceListClient:
    """Reads all pages of the instance list over a persistent connection."""

    def __init__(
        self,
        endpoint: platform_settings.Endpoint,
        timers: timer_service.Timers,
        context: ssl.SSLContext,
    ) -> None:
        self.endpoint = endpoint
        self.timers = timers
        self.dropped_entries = DroppedEntries(timers)
        self.pool = backend_transport.make_pool(context, 1, KEEP_ALIVE_SECONDS)

    async def read(self) -> tuple[instances.Instance, ...]:
        """Returns the instances of all pages.

        :raises BackendError: if a page cannot be read.
        :raises BackendTimeoutError: if the list is not complete within
            READ_TIMEOUT_SECONDS or MAX_PAGES.
        """
        listed: dict[instances.Instance, None] = {}
        with self.timers.move_on_after(READ_TIMEOUT_SECONDS):
            page = ''
            for _ in range(MAX_PAGES):
                entries, page = await self.read_page(page)
                for chunk in iterutils.chunked_iter(entries, ENTRIES_AT_ONCE):
                    self.dropped_entries.log(decode_entries(chunk, listed))
                    await anyio.lowlevel.checkpoint()
                if not page:
                    return tuple(listed)
        raise errors.BackendTimeoutError(
            'the instance list exceeded its time limit or page limit'
        )

    async def read_page(self, page_token: str) -> tuple[list, str]:
        target = http_names.INSTANCES_TARGET
        if page_token:
            target += b'?pageToken=' + urllib.parse.quote(page_token).encode()
        request = httpcore.Request(
            'GET',
            httpcore.URL(
                scheme=b'http',
                host=self.endpoint.host.encode(),
                port=self.endpoint.port,
                target=target,
            ),
            headers=[(b'host', str(self.endpoint).encode())],
        )
        try:
            response = await self.pool.handle_async_request(request)
            try:
                content = await backend_transport.read_limited(
                    response.stream, MAX_PAGE_BYTES
                )
            finally:
                await response.aclose()
        except backend_transport.HTTP_ERRORS as error:
            raise errors.BackendError(
                'the request for the instance list failed'
            ) from error
        if response.status != 200:
            raise errors.BackendStatusError(
                f'the instance list responded with status {response.status}',
                response.status,
            )
        try:
            return decode_page(content)
        except ValueError as error:
            # A page with very many tokens takes long, in which the other
            # tasks of a control VM go on.
            return await anyio.to_thread.run_sync(
                decode_broken_page, content, error
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Undecodable:
    """An entry, or the part of a page with entries, that is not JSON."""

    raw: bytes
    reason: str


def decode_page(content: bytes) -> tuple[list, str]:
    """Returns the entries of a page, and the token of the next page.

    :returns: the decoded entries; the token is empty on the last page.
    :raises ValueError: if it cannot be decoded as a whole.
    :raises BackendError: if it is not a page of the list.
    """
    values = orjson.loads(content)
    if not isinstance(values, dict):
        raise errors.BackendError('the instance list is not an object')
    entries = values.get('instances')
    if not isinstance(entries, list):
        raise errors.BackendError(
            'the instances in the instance list are not a list'
        )
    return entries, check_token(values.get('nextToken'))


def check_token(token: typing.Any) -> str:
    if token is None:
        return ''
    if not isinstance(token, str):
        raise errors.BackendError(
            'the token of the next page of the instance list is not a string'
        )
    return token


def decode_broken_page(
    content: bytes, page_error: ValueError
) -> tuple[list, str]:
    """Decodes each entry alone of a page that cannot be decoded as a whole.

    If an entry without end hides where the others begin, every object that is
    an entry is taken.

    :param page_error: why the page could not be decoded.
    :returns: as for :func:`decode_page`, with an :class:`Undecodable` for what
        cannot be decoded.
    :raises BackendError: if it is not a page of the list.
    """
    try:
        members = json_splitting.split_object(content)
        listed = members[b'"instances"']
        if not listed.startswith(b'['):
            raise errors.BackendError(
                'the instances in the instance list are not a list'
            )
        raw_entries, _ = json_splitting.split_members(listed, 0)
        token = orjson.loads(members.get(b'"nextToken"', b'null'))
    except (ValueError, KeyError):
        return recover_page(content, page_error)
    entries = []
    for raw in raw_entries:
        try:
            entries.append(orjson.loads(raw))
        except ValueError as error:
            entries.append(Undecodable(raw, str(error)))
            if not json_splitting.has_sound_tokens(raw):
                entries += recover_entries(raw)
    return entries, check_token(token)


def recover_page(content: bytes, page_error: ValueError) -> tuple[list, str]:
    """Returns the entries that can be found in a page without structure.

    :param page_error: why the page could not be decoded.
    :raises BackendError: if it is not known whether another page follows.
    """
    begin = INSTANCES_BEGIN.search(content)
    tokens = NEXT_TOKEN.findall(content)
    if begin is None or not tokens:
        raise errors.BackendError(
            f'the instance list is not JSON: {page_error}'
        ) from page_error
    listed = content[begin.end() - 1 :]
    entries = [Undecodable(listed, str(page_error)), *recover_entries(listed)]
    try:
        token = orjson.loads(tokens[-1])
    except ValueError as error:
        raise errors.BackendError(
            'the token of the next page of the instance list is not JSON'
        ) from error
    return entries, check_token(token)


def recover_entries(text: bytes) -> list:
    entries = []
    for raw in json_splitting.recover_objects(text):
        try:
            entries.append(orjson.loads(raw))
        except ValueError as error:
            entries.append(Undecodable(raw, str(error)))
    return entries


class DroppedEntries:
    """Logs the entries of the list that are dropped, and limits the log.

    An entry that stays in the list is logged once in an interval.

    :ivar logged: identities of the entries that were logged in the interval.
    """

    def __init__(self, timers: timer_service.Timers) -> None:
        self.timers = timers
        self.logged: set[str] = set()
        self.interval_began_at = -math.inf

    def log(self, dropped: list[tuple[typing.Any, str]]) -> None:
        """Logs entries, each with the reason for which it was dropped."""
        now = self.timers.now()
        if now - self.interval_began_at >= LOG_INTERVAL_SECONDS:
            self.interval_began_at = now
            self.logged.clear()
        for entry, reason in dropped:
            if len(self.logged) >= MAX_LOGGED_ENTRIES:
                return
            identity = f'{reason} {identify(entry)}'
            if identity not in self.logged:
                self.logged.add(identity)
                eliot.log_message(
                    'instances:unreadable',
                    reason=reason,
                    entry=describe(entry),
                    dropped=len(dropped),
                )


def identify(entry: typing.Any) -> str:
    """Returns what is likely to stay the same in an entry."""
    if isinstance(entry, dict):
        return ENTRY_REPR.repr(entry.get('id'))
    return describe(entry)


def describe(entry: typing.Any) -> str:
    """Returns the beginning of an entry, however deep or long it is."""
    if isinstance(entry, Undecodable):
        return repr(entry.raw[:MAX_DESCRIBED_CHARACTERS])
    return ENTRY_REPR.repr(entry)[:MAX_DESCRIBED_CHARACTERS]


def decode_entries(
    entries: list, listed: dict[instances.Instance, None]
) -> list[tuple[typing.Any, str]]:
    """Adds the valid instances of a page to those of the pages before it.

    :param listed: the instances in their order, each of them once; several
        may have the same name.
    :returns: the other entries, each with the reason for which it is dropped.
    """
    dropped = []
    for entry in entries:
        try:
            listed[decode_entry(entry)] = None
        except errors.InvalidInstanceError as error:
            dropped.append((entry, error.message))
    return dropped


def decode_entry(entry: typing.Any) -> instances.Instance:
    """Returns the instance of an entry.

    :raises InvalidInstanceError: if the entry is invalid.
    """
    if isinstance(entry, Undecodable):
        raise errors.InvalidInstanceError(entry.reason)
    if not isinstance(entry, dict):
        raise errors.InvalidInstanceError('it is not an object')
    state = entry.get('state')
    if state not in (READY_STATE, DRAINING_STATE):
        raise errors.InvalidInstanceError('its state is unknown')
    remaining_ms = entry.get('remainingMs')
    if remaining_ms is not None:
        check_number('remainingMs', remaining_ms)
    cold_left_ms = entry.get('coldLeftMs', 0)
    check_number('coldLeftMs', cold_left_ms)
    software_version = entry.get('version')
    if not isinstance(software_version, str):
        software_version = ''
    instance = instances.Instance(
        entry.get('id'),
        entry.get('service'),
        entry.get('address'),
        entry.get('zone'),
        decode_count('slots', entry.get('slots')),
        # An instance with a removal notice is draining, whatever its state.
        state == DRAINING_STATE or remaining_ms is not None,
        cold_left_ms > 0,
        decode_count('born', entry.get('born', 0)),
        software_version,
    )
    instances.check(instance)
    return instance


def check_number(field: str, value: typing.Any) -> None:
    """Checks that a value is a number; the decoder accepts finite ones only.

    :raises InvalidInstanceError: if it is not.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise errors.InvalidInstanceError(f'{field} is not a number')


def decode_count(field: str, value: typing.Any) -> int:
    """Returns a number without its fraction.

    :raises InvalidInstanceError: if it is not a finite number.
    """
    check_number(field, value)
    if not math.isfinite(value):
        raise errors.InvalidInstanceError(f'{field} is not finite')
    return int(value)
