"""Runs an entry VM as a process."""

import anyio
import eliot

from .. import errors
from ..adapters import servers
from . import backend_client
from . import client_application
from . import documents
from ..fleet import agent as agents
from ..fleet import loads
from ..fleet import members
from ..fleet import timing
from . import process as processes
from ..serving import dispatcher as dispatchers
from ..serving import retry_budget
from ..serving import servers as server_pool
from . import settings as platform_settings

# Also set in deploy/system.toml.
ENTRY_METRICS_PORT = 9464
DRAIN_POLL_INTERVAL_SECONDS = 0.05


async def run_entry(
    settings: platform_settings.Settings, settings_file: str | None
) -> None:
    """Runs an entry VM until the stop signal.

    :param settings_file: that is read again when it changes.
    :raises SettingsError: if a listener of the role is not set.
    """
    if settings.client_endpoint is None or settings.readiness_endpoint is None:
        raise errors.SettingsError(
            ('listen.front and listen.ready: required for an entry VM',)
        )
    # A control VM on the same host uses the first port.
    process = processes.Process(
        settings, settings_file, settings.internal_port_range[0] + 1
    )
    timers = process.timers
    view = agents.FleetView()
    pool = server_pool.ServerPool(view, settings.region, settings.regions)
    backend = backend_client.BackendClient(timers)

    def describe_entry() -> tuple[
        members.EntryVm, dict[str, loads.RegionLoad]
    ]:
        state = members.EntryState.SERVING
        if view.configuration is None:
            state = members.EntryState.STARTING
        if process.is_leaving:
            state = members.EntryState.LEAVING
        entry = members.EntryVm(
            process.vm,
            str(settings.client_endpoint),
            settings.region,
            settings.domain,
            state,
        )
        region_loads = dispatchers.estimate_region_loads(dispatcher)
        stop = dispatcher.stop
        if stop and process.leaving_seconds > stop.limits.accept_streams:
            region_loads = {}
        return entry, region_loads

    agent = agents.Agent(
        timers,
        process.mesh,
        view,
        process.seeds,
        describe_entry,
        documents.decode,
        settings.bounds.revoke_seconds - timing.LEASE_MARGIN_SECONDS,
        process.rng,
    )
    agent.capacity = lambda: members.Capacity(settings.cores, process.loop_lag)
    dispatcher = dispatchers.Dispatcher(
        process.vm,
        timers,
        process.mesh,
        agent,
        pool,
        backend,
        retry_budget.RetrySettings(
            settings.bounds.retry_ratio,
            settings.bounds.retry_slack,
            settings.bounds.retry_window,
        ),
        process.rng,
    )

    dispatcher.memory = process.intake.memory
    agent.report_notices = lambda: pool.report_notices(timers.now())
    agent.report_retries = dispatcher.planner.retry_budgets.report
    dispatcher.planner.retry_budgets.report_soon = agent.report_retries_soon
    dispatcher.planner.divides_capacity = settings.divides_capacity

    process.mesh.handlers.calls.update(dispatcher.handlers())
    process.mesh.handlers.streams.update(dispatcher.stream_handlers())
    view.update_callbacks.append(lambda: pool.update(timers.now()))

    def is_ready() -> bool:
        return view.configuration is not None and not process.is_leaving

    application = client_application.ClientApplication(
        timers,
        dispatcher,
        lambda: process.is_leaving,
        dispatcher.rejects_request,
    )
    processes.log_start('entry', process)
    async with anyio.create_task_group() as tasks:

        async def stop() -> None:
            drain_seconds = (
                settings.bounds.stop_seconds - processes.EXIT_RESERVE_SECONDS
            )
            dispatcher.begin_stop(drain_seconds)
            limits = dispatcher.stop.limits
            await agent.poll()
            while process.leaving_seconds < limits.drain and (
                dispatcher.in_flight.requests
                or process.leaving_seconds < limits.accept
            ):
                await timers.sleep(DRAIN_POLL_INTERVAL_SECONDS)
            dispatcher.backlog_exchange.leave()
            dispatcher.end_stop()
            eliot.log_message('process:stopped')
            process.stopped.set()

        async def prune_connections() -> None:
            while True:
                await timers.sleep(timing.POLL_INTERVAL_SECONDS)
                backend.prune_pools(pool.servers)

        await process.start(tasks)
        tasks.start_soon(process.watch_signals, stop)
        tasks.start_soon(agent.run)
        tasks.start_soon(prune_connections)
        tasks.start_soon(dispatcher.run)
        server_settings = servers.ServerSettings(
            processes.MAX_HEADER_BYTES,
            processes.IDLE_TIMEOUT_SECONDS,
            processes.EXIT_RESERVE_SECONDS / 2,
        )
        processes.serve(
            tasks,
            application,
            settings.client_endpoint,
            server_settings,
            process,
            process.intake.limit_clients(),
        )
        processes.serve(
            tasks,
            client_application.make_readiness_application(is_ready),
            settings.readiness_endpoint,
            server_settings,
            process,
            process.intake.limit_internal(),
        )
        processes.serve(
            tasks,
            process.serve_metrics,
            platform_settings.Endpoint(settings.host, ENTRY_METRICS_PORT),
            server_settings,
            process,
            process.intake.limit_internal(),
        )
        add_entry_gauges(process, agent, dispatcher)
        await process.stopped.wait()
        await timers.sleep(processes.EXIT_RESERVE_SECONDS / 2)
        tasks.cancel_scope.cancel()


def add_entry_gauges(
    process: processes.Process,
    agent: agents.Agent,
    dispatcher: dispatchers.Dispatcher,
) -> None:
    """Adds the gauges of an entry VM to its metrics."""
    view = agent.view
    add_gauge = process.metrics.add_gauge
    add_gauge(
        'greengagegw_configuration_version',
        'Version of the configuration in force',
        lambda: view.version,
    )
    add_gauge(
        'greengagegw_evacuated_domains',
        'Failure domains that are evacuated',
        lambda: len(view.evacuated_domains),
    )
    add_gauge(
        'greengagegw_lease_seconds_left',
        'Seconds for which keys are accepted without another answer',
        lambda: view.lease_expires_at - agent.boot_clock(),
    )
    add_gauge(
        'greengagegw_instance_list_age_seconds',
        'Age of the list of backend servers',
        lambda: process.timers.now() - view.instance_list_read_at,
    )
    add_gauge(
        'greengagegw_requests_in_flight',
        'Requests being handled',
        lambda: len(dispatcher.in_flight.requests),
    )
    add_gauge(
        'greengagegw_entry_vms',
        'Entry VMs that are known',
        lambda: len(view.entry_vms),
    )
    add_gauge(
        'greengagegw_prompt_holds',
        'Holds on requests that end backend servers',
        lambda: len(view.holds.holds),
    )
