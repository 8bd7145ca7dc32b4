"""ASGI application for operators and for the lookup of entry VMs."""

import urllib.parse

import eliot
import orjson

from .. import errors
from .. import timers as timer_service
from ..adapters import asgi
from . import documents
from ..fleet import control as controls
from ..fleet import members
from ..fleet import store as stores
from . import http_names
from ..replication import client as replication_client

MAX_BODY_BYTES = 64 * 1024 * 1024
BODY_TIMEOUT_SECONDS = 10.0
# Clients may use a response for three times as long. A VM that is shutting
# down rejects requests that arrive later than that.
DIRECTORY_TTL_SECONDS = 1
MAX_ADDRESSES = 64
# A control VM does not know all entry VMs right after its start.
WARM_UP_SECONDS = 1.2
JSON_TYPE = (b'content-type', b'application/json')


class OperatorApplication:
    """Serves operators and lookups on one control VM."""

    def __init__(
        self, timers: timer_service.Timers, control: controls.ControlServer
    ) -> None:
        self.timers = timers
        self.control = control

    async def __call__(
        self, scope: dict, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope['type'] == 'lifespan':
            await asgi.serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            await self.serve(scope, receive, send)

    async def serve(
        self, scope: dict, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        headers = [JSON_TYPE]
        try:
            status, body = await self.handle_request(scope, receive)
        except (asgi.ClientDisconnected, errors.OrderAbandonedError) as error:
            eliot.log_message(
                'order:abandoned',
                method=scope['method'],
                path=scope['path'],
                run=getattr(error, 'run', errors.NOT_RUN),
                reason=str(error) or 'the caller has gone',
            )
            return
        except errors.GatewayError as error:
            # A status below 500 ends an operator's retries, so only rejected
            # requests get one.
            status = error.status
            is_not_run = isinstance(error, errors.NotRunError)
            if not is_not_run or status >= 500:
                status = 503
            body = orjson.dumps(
                {'error': {'code': error.code, 'message': error.message}}
            )
            eliot.log_message(
                'operator:failed',
                method=scope['method'],
                path=scope['path'],
                status=status,
                code=error.code,
                reason=error.message[:500],
            )
        await asgi.send_response(send, status, headers, body)

    async def handle_request(
        self, scope: dict, receive: asgi.Receive
    ) -> tuple[int, bytes]:
        method, path = scope['method'], scope['path']
        if path == http_names.RESOLVE_PATH and method == 'GET':
            return self.resolve(scope)
        if path == http_names.CONFIGURATION_PATH:
            if method == 'GET':
                return await self.read_configuration()
            if method == 'PUT':
                return await self.put_configuration(scope, receive)
        if path.startswith(http_names.EVACUATION_PATH):
            domain = path.removeprefix(http_names.EVACUATION_PATH)
            if domain and method in ('POST', 'DELETE'):
                with asgi.CallerWatch(receive) as caller:
                    return await self.evacuate(
                        domain, method == 'POST', caller.is_waiting
                    )
        if path == http_names.HOLDS_PATH and method == 'GET':
            return await self.list_holds()
        if path.startswith(f'{http_names.HOLDS_PATH}/'):
            hold_id = path.removeprefix(f'{http_names.HOLDS_PATH}/')
            if method == 'DELETE':
                with asgi.CallerWatch(receive) as caller:
                    return await self.lift_hold(hold_id, caller.is_waiting)
        raise errors.NotFoundError(f'{method} {path}')

    def resolve(self, scope: dict) -> tuple[int, bytes]:
        """Returns the entry VM addresses that a client should use."""
        query = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))

        def parameter(name: str) -> str:
            return query.get(name, [''])[0]

        now = self.timers.now()
        if now - self.control.started_at < WARM_UP_SECONDS:
            raise errors.NotReadyError(
                'this control VM has just started and may not know all entry'
                ' VMs yet'
            )
        addresses = members.choose_entry_vm_addresses(
            self.control.registry.live_entry_vms(now),
            parameter('region'),
            parameter('zone'),
            self.home_regions_of(parameter('name')),
            MAX_ADDRESSES,
            self.control.registry.capacities,
            now,
        )
        if not addresses:
            raise errors.UnavailableError('no entry VM is live')
        return 200, orjson.dumps(
            {'addresses': addresses, 'ttlS': DIRECTORY_TTL_SECONDS}
        )

    def home_regions_of(self, host: str) -> frozenset[str]:
        configuration = self.control.configuration
        if configuration is None:
            return frozenset()
        home_regions: frozenset[str] = frozenset()
        for route in configuration.routes_by_host.get(
            host.lower(), {}
        ).values():
            home_regions |= route.home_regions
        return home_regions

    async def read_configuration(self) -> tuple[int, bytes]:
        store = await self.control.read()
        if not store.packed:
            raise errors.NotReadyError('no configuration has been stored yet')
        return 200, store.document

    async def put_configuration(
        self, scope: dict, receive: asgi.Receive
    ) -> tuple[int, bytes]:
        """Stores a configuration and returns once it is durable."""
        body = await asgi.read_body(
            scope, receive, MAX_BODY_BYTES, self.timers, BODY_TIMEOUT_SECONDS
        )
        asgi.count_json(scope, body)
        # What is decoded here is not needed while the order is replicated.
        sent_version = documents.decode(body).version
        has_changed, version = await self.control.submit(
            stores.put_command(sent_version, body)
        )
        eliot.log_message(
            'operator:configuration',
            version=sent_version,
            changed=has_changed,
            held=version,
        )
        return 200, orjson.dumps({'version': version})

    async def evacuate(
        self,
        domain: str,
        is_evacuated: bool,
        is_wanted: replication_client.IsWanted,
    ) -> tuple[int, bytes]:
        has_changed = await self.control.order_evacuation(
            domain, is_evacuated, is_wanted
        )
        eliot.log_message(
            'operator:evacuation',
            domain=domain,
            evacuated=is_evacuated,
            changed=has_changed,
        )
        return 200, b'{}'

    async def list_holds(self) -> tuple[int, bytes]:
        """Returns which requests are held back, since when and why."""
        store = await self.control.read()
        return 200, orjson.dumps(
            {'held': [one.describe() for one in store.holds.values()]}
        )

    async def lift_hold(
        self, hold_id: str, is_wanted: replication_client.IsWanted
    ) -> tuple[int, bytes]:
        """Lifts a hold, which may be made again after further ends.

        Lifting a hold that does not exist, or no longer, changes nothing.
        """
        has_changed = await self.control.order_lift(hold_id, is_wanted)
        eliot.log_message(
            'operator:hold_lifted', id=hold_id, changed=has_changed
        )
        return 200, orjson.dumps({'lifted': has_changed})
