"""Chooses the region in which a call is run."""

import collections.abc
import contextlib
import dataclasses
import math

import eliot

from . import backend_pool
from . import errors
from . import fair_queue
from . import forwarding
from . import local_execution
from . import metrics as metric_sets
from . import settings as settings_module
from . import table as tables
from .membership import gossip
from .policy import routing
from .ports import backends

DEFAULT_ROUND_TRIP_SECONDS = 0.11
# A call to a server that does not respond takes several connect timeouts.
LOST_SERVERS_SECONDS = 5.0


class RegionRouter:
    """Runs calls in the local or another region, by expected wait.

    :ivar lost_until: services of which this VM reached no server, and the
        timer seconds until which other VMs of the region run their calls.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        pool: backend_pool.BackendPool,
        queues: dict[str, fair_queue.ServiceQueue],
        executor: local_execution.LocalExecutor,
        forwarder: forwarding.CallForwarder,
        membership: gossip.Gossip,
        metrics: metric_sets.Metrics,
    ) -> None:
        self.settings = settings
        self.pool = pool
        self.queues = queues
        self.executor = executor
        self.forwarder = forwarder
        self.membership = membership
        self.metrics = metrics
        self.region = settings.region
        self.lost_until: dict[str, float] = {}

    @contextlib.asynccontextmanager
    async def route(
        self, spec: local_execution.CallSpec, row: tables.Row
    ) -> collections.abc.AsyncIterator[local_execution.ActiveCall]:
        """Runs a call in the best region that may run it.

        :raises UnavailableError: if no permitted region has the service.
        """
        plan = self.plan_regions(spec, row)
        if not plan:
            raise errors.UnavailableError(
                f'service {spec.call.service} has no backend server in a'
                f' region that may serve {row.name}',
                retry_after=5,
            )
        async with contextlib.AsyncExitStack() as stack:
            active_call = await self.run_in_first_available(stack, spec, plan)
            if active_call.response.region != self.region:
                self.metrics.forwarded.labels(
                    spec.call.service, active_call.response.region
                ).inc()
            yield active_call

    async def run_in_first_available(
        self,
        stack: contextlib.AsyncExitStack,
        spec: local_execution.CallSpec,
        plan: list[str],
    ) -> local_execution.ActiveCall:
        """Runs the call in the first planned region that accepts it.

        The next region is tried if the call was certainly not run, or may
        be repeated and the retry budget allows it.
        """
        run = errors.NOT_RUN
        for index, region in enumerate(plan):
            is_last = index == len(plan) - 1
            attempt = spec if is_last else self.limit_wait(spec)
            try:
                return await stack.enter_async_context(
                    self.run_in(attempt, region)
                )
            except errors.GatewayError as error:
                if error.run != errors.NOT_RUN:
                    run = errors.UNKNOWN
                error.run = run
                if is_last or not self.may_try_next_region(error, spec.call):
                    raise
        raise errors.UnavailableError('the list of regions is empty')

    def may_try_next_region(
        self, error: errors.GatewayError, call: backends.Call
    ) -> bool:
        """Returns whether a call that failed may be run in the next region.

        Failures of a backend server were already retried within its
        region, so only those of the connection to a peer are retried here.
        """
        if error.run == errors.NOT_RUN:
            return True
        return (
            call.repeatable
            and isinstance(error, errors.PeerError)
            and self.executor.retry_budget.try_spend()
        )

    def limit_wait(
        self, spec: local_execution.CallSpec
    ) -> local_execution.CallSpec:
        """Shortens the wait of a call that has another region to try."""
        max_wait = forwarding.MAX_FORWARDED_WAIT_SECONDS
        return dataclasses.replace(
            spec, max_wait_seconds=min(spec.max_wait_seconds, max_wait)
        )

    def run_in(
        self, spec: local_execution.CallSpec, region: str
    ) -> contextlib.AbstractAsyncContextManager[local_execution.ActiveCall]:
        if region == self.region:
            return self.run_near(spec)
        return self.forwarder.run(spec, region)

    @contextlib.asynccontextmanager
    async def run_near(
        self, spec: local_execution.CallSpec
    ) -> collections.abc.AsyncIterator[local_execution.ActiveCall]:
        """Runs a call in this region.

        Another VM of the region runs it if this one reaches no server.
        """
        async with contextlib.AsyncExitStack() as stack:
            service = spec.call.service
            if not self.forwarder.other_vms(self.region):
                yield await stack.enter_async_context(self.executor.run(spec))
                return
            now = self.executor.timers.now()
            if now >= self.lost_until.get(service, -math.inf):
                if service in self.lost_until:
                    # One call at a time finds out whether they are back.
                    self.lost_until[service] = now + LOST_SERVERS_SECONDS
                active_call = await self.enter_locally(stack, spec)
                if active_call is not None:
                    yield active_call
                    return
            yield await stack.enter_async_context(
                self.forwarder.run(spec, self.region)
            )

    async def enter_locally(
        self, stack: contextlib.AsyncExitStack, spec: local_execution.CallSpec
    ) -> local_execution.ActiveCall | None:
        """Returns the call, or None if no server was reached."""
        service = spec.call.service
        try:
            active_call = await stack.enter_async_context(
                self.executor.run(spec)
            )
        except errors.BackendConnectError as error:
            if error.run != errors.NOT_RUN:
                raise
            if service not in self.lost_until:
                eliot.log_message('servers:lost', service=service)
            self.lost_until[service] = (
                self.executor.timers.now() + LOST_SERVERS_SECONDS
            )
            return None
        if self.lost_until.pop(service, None) is not None:
            eliot.log_message('servers:regained', service=service)
        return active_call

    def plan_regions(
        self, spec: local_execution.CallSpec, row: tables.Row
    ) -> list[str]:
        """Returns the regions to try, in order.

        A bound organisation is served in its home region only. Otherwise
        they are the home region, the local one, and the best other one,
        which comes first if it saves enough waiting. Without the service in
        the first two they are all others.
        """
        service = spec.call.service
        available = self.settings.regions_by_service.get(service, frozenset())
        if row.bound:
            return [row.home] if row.home in available else []
        first = row.home or self.region
        waits = {
            region: self.estimate_wait(region, service) for region in available
        }
        others = [
            one
            for one in available
            if one not in (first, self.region) and math.isfinite(waits[one])
        ]
        others.sort(
            key=lambda one: (
                self.forwarder.is_suspected(one),
                waits[one] + self.round_trip_seconds(one),
            )
        )
        planned = [one for one in (first, self.region) if one in available]
        planned = list(dict.fromkeys(planned))
        if not planned:
            return others
        if others and routing.should_spill_over(
            waits[planned[0]],
            waits[others[0]],
            self.round_trip_seconds(others[0]),
        ):
            planned = [others[0], *planned]
        else:
            planned = [*planned, *others[:1]]
        # Regions whose VMs did not respond lately are tried last.
        return sorted(planned, key=self.forwarder.is_suspected)

    def estimate_wait(self, region: str, service: str) -> float:
        """Returns the expected wait of a new call in a region, in seconds."""
        if region == self.region:
            return self.queues[service].expected_wait()
        summary = self.membership.current_summary(region)
        load = summary.services.get(service) if summary else None
        if load is None:
            return math.inf
        seconds = 1.0
        if service in self.pool.services:
            seconds = self.pool.services[service].mean_seconds
        return routing.expected_wait_seconds(
            load.free, load.waiting, load.slots, seconds
        )

    def round_trip_seconds(self, region: str) -> float:
        if region == self.region:
            return 0.0
        return self.membership.round_trip_seconds.get(
            region, DEFAULT_ROUND_TRIP_SECONDS
        )
