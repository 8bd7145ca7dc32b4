"""Finds the region in which a call is run."""

import collections.abc
import contextlib
import dataclasses
import math

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


class RegionRouter:
    """Runs calls here or in another region, whichever is better."""

    def __init__(
        self,
        settings: settings_module.Settings,
        known: backend_pool.BackendPool,
        queues: dict[str, fair_queue.ServiceQueue],
        runs: local_execution.LocalExecutor,
        forwards: forwarding.CallForwarder,
        membership: gossip.Gossip,
        metrics: metric_sets.Metrics,
    ) -> None:
        self.settings = settings
        self.known = known
        self.queues = queues
        self.runs = runs
        self.forwards = forwards
        self.membership = membership
        self.metrics = metrics
        self.region = settings.region

    @contextlib.asynccontextmanager
    async def route(
        self, order: local_execution.CallSpec, row: tables.Row
    ) -> collections.abc.AsyncIterator[local_execution.ActiveCall]:
        """Runs a call in the best region that may run it."""
        plan = self.plan_regions(order, row)
        if not plan:
            raise errors.UnavailableError(
                f'{order.call.service} has no backend server where'
                f' {row.name} may be served',
                retry_after=5,
            )
        async with contextlib.AsyncExitStack() as stack:
            run = await self.run_in_first_available(stack, order, plan)
            if run.answer.region != self.region:
                self.metrics.forwarded.labels(
                    order.call.service, run.answer.region
                ).inc()
            yield run

    async def run_in_first_available(
        self,
        stack: contextlib.AsyncExitStack,
        order: local_execution.CallSpec,
        plan: list[str],
    ) -> local_execution.ActiveCall:
        """Enters the call in the first region that takes it.

        The next region is tried when the call surely was not run, and
        within the retry budget when it may be run again.
        """
        run = errors.NOT_RUN
        for at, region in enumerate(plan):
            is_last = at == len(plan) - 1
            tried = order if is_last else self.limit_wait(order)
            try:
                return await stack.enter_async_context(
                    self.run_in(tried, region)
                )
            except errors.GatewayError as error:
                if error.run != errors.NOT_RUN:
                    run = errors.UNKNOWN
                error.run = run
                if is_last or not self.may_try_next_region(error, order.call):
                    raise
        raise errors.UnavailableError('no region is planned')

    def may_try_next_region(
        self, error: errors.GatewayError, call: backends.Call
    ) -> bool:
        """Returns whether a call that failed may go to another region.

        A backend server's failure was retried where it happened; only the
        way there may be tried again here.
        """
        if error.run == errors.NOT_RUN:
            return True
        return (
            call.repeatable
            and isinstance(error, errors.PeerError)
            and self.runs.retry_budget.try_spend()
        )

    def limit_wait(
        self, order: local_execution.CallSpec
    ) -> local_execution.CallSpec:
        """Shortens the wait where another region can be tried after it."""
        longest = forwarding.MAX_FORWARDED_WAIT_SECONDS
        return dataclasses.replace(
            order, max_wait_seconds=min(order.max_wait_seconds, longest)
        )

    def run_in(
        self, order: local_execution.CallSpec, region: str
    ) -> contextlib.AbstractAsyncContextManager[local_execution.ActiveCall]:
        if region == self.region:
            return self.runs.run(order)
        return self.forwards.run(order, region)

    def plan_regions(
        self, order: local_execution.CallSpec, row: tables.Row
    ) -> list[str]:
        """Returns the regions to try, in their order."""
        service = order.call.service
        having = self.settings.regions_by_service.get(service, frozenset())
        if row.bound:
            return [row.home] if row.home in having else []
        first = row.home or self.region
        waits = {
            region: self.expected_wait(region, service) for region in having
        }
        others = [
            one
            for one in having
            if one not in (first, self.region) and math.isfinite(waits[one])
        ]
        others.sort(
            key=lambda one: (
                self.forwards.is_suspected(one),
                waits[one] + self.round_trip_seconds(one),
            )
        )
        planned = [one for one in (first, self.region) if one in having]
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
        # A region that has just been silent is tried last.
        return sorted(planned, key=self.forwards.is_suspected)

    def expected_wait(self, region: str, service: str) -> float:
        """Returns the seconds that a new call would wait in a region."""
        if region == self.region:
            return self.queues[service].expected_wait()
        summary = self.membership.current_summary(region)
        load = summary.services.get(service) if summary else None
        if load is None:
            return math.inf
        seconds = 1.0
        if service in self.known.services:
            seconds = self.known.services[service].mean_seconds
        return routing.expected_wait_seconds(
            load.free, load.waiting, load.slots, seconds
        )

    def round_trip_seconds(self, region: str) -> float:
        if region == self.region:
            return 0.0
        return self.membership.round_trip_seconds.get(
            region, DEFAULT_ROUND_TRIP_SECONDS
        )
