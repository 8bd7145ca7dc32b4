"""HTTP client for the platform's list of backend servers."""

import ssl
import typing
import urllib.parse

import eliot
import httpcore
import orjson

from .. import errors
from .. import timers as timer_service
from ..adapters import backend_transport
from ..fleet import instances
from . import http_names
from . import settings as platform_settings

READ_TIMEOUT_SECONDS = 1.0
KEEP_ALIVE_SECONDS = 5.0
MAX_PAGES = 200
MAX_PAGE_BYTES = 4 * 1024 * 1024
READY_STATE = 'ready'
DRAINING_STATE = 'draining'


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
        self.pool = backend_transport.make_pool(context, 1, KEEP_ALIVE_SECONDS)

    async def read(self) -> tuple[instances.Instance, ...]:
        """Returns the instances of all pages.

        :raises BackendError: if a page cannot be read.
        :raises BackendTimeoutError: if the list is not complete within
            READ_TIMEOUT_SECONDS or MAX_PAGES.
        """
        listed: list[instances.Instance] = []
        with self.timers.move_on_after(READ_TIMEOUT_SECONDS):
            page = ''
            for _ in range(MAX_PAGES):
                entries, page = await self.read_page(page)
                listed.extend(decode_entries(entries))
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
            values = orjson.loads(content)
            entries = values['instances']
            next_token = values.get('nextToken')
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise errors.BackendError(
                'the instance list is not JSON or has no instances field'
            ) from error
        if not isinstance(entries, list):
            raise errors.BackendError(
                'the instances in the instance list are not a list'
            )
        return entries, next_token or ''


def decode_entries(entries: list) -> list[instances.Instance]:
    """Returns the valid instances, and logs the invalid entries."""
    listed = []
    for entry in entries:
        instance = decode_entry(entry)
        if instance is None:
            eliot.log_message('instances:unreadable', entry=repr(entry)[:200])
        else:
            listed.append(instance)
    return listed


def decode_entry(entry: typing.Any) -> instances.Instance | None:
    """Returns an instance, None if the entry is invalid."""
    if not isinstance(entry, dict):
        return None
    strings = [
        entry.get(name)
        for name in ('id', 'service', 'address', 'zone', 'state')
    ]
    if not all(isinstance(one, str) and one for one in strings):
        return None
    name, service, address, domain, state = strings
    slots = entry.get('slots')
    cold_left_ms = entry.get('coldLeftMs', 0)
    born = entry.get('born', 0)
    software_version = entry.get('version')
    if not isinstance(software_version, str):
        software_version = ''
    for number in (slots, cold_left_ms, born):
        if isinstance(number, bool) or not isinstance(number, int | float):
            return None
    if state not in (READY_STATE, DRAINING_STATE) or slots < 1:
        return None
    try:
        platform_settings.parse_endpoint(address)
    except ValueError:
        return None
    # An instance with a removal notice is draining, whatever its state.
    is_leaving = (
        state == DRAINING_STATE or entry.get('remainingMs') is not None
    )
    return instances.Instance(
        name,
        service,
        address,
        domain,
        int(slots),
        is_leaving,
        cold_left_ms > 0,
        int(born),
        software_version,
    )
