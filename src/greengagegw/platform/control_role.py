"""Runs a control VM as a process."""

import pathlib

import anyio
import eliot

from .. import errors
from ..adapters import files
from ..adapters import servers
from . import documents
from ..fleet import control as controls
from ..fleet import retry_records
from ..fleet import store as stores
from ..fleet import timing
from . import instance_list
from . import operator_application
from . import process as processes
from ..replication import departure
from ..replication import replica as replicas
from ..replication import roles as replica_roles
from ..replication import status
from ..replication import storage as log_storage
from . import settings as platform_settings

# Also set in deploy/system.toml.
CONTROL_METRICS_PORT = 9465
CONTROL_GROUP = 'control'
# The part of the quota slack that may be granted in advance. The rest covers
# a change of leader.
QUOTA_DEBT_RATIO = 0.4
CONTROL_STOP_DELAY_SECONDS = 0.5
# Covers a hand-over, an election and two changes of the members, each of some
# round trips of 0.11 s.
LEAVE_TIMEOUT_SECONDS = 2.0


def add_control_gauges(
    process: processes.Process, control: controls.ControlServer
) -> None:
    """Adds the gauges of a control VM to its metrics."""
    replica = control.replica
    add_gauge = process.metrics.add_gauge
    add_gauge(
        'greengagegw_configuration_version',
        'Version of the configuration held',
        lambda: control.store.version,
    )
    add_gauge(
        'greengagegw_replica_term', 'Term of the log', lambda: replica.term
    )
    add_gauge(
        'greengagegw_replica_leads',
        'Whether this VM leads the control group',
        lambda: replica.is_leader,
    )
    add_gauge(
        'greengagegw_replica_committed',
        'Entries of the log that a majority holds',
        lambda: replica.commit_index,
    )
    add_gauge(
        'greengagegw_replica_leaderless_seconds',
        'Seconds since a leader of the control group was heard, 0 if one is',
        lambda: status.leaderless_seconds(replica),
    )
    add_gauge(
        'greengagegw_replica_voters',
        'Voters of the control group',
        lambda: len(replica.members.voters),
    )
    add_gauge(
        'greengagegw_replica_learners',
        'Members of the control group that do not vote',
        lambda: len(replica.members.members) - len(replica.members.voters),
    )
    add_gauge(
        'greengagegw_replica_missing_voters',
        'Members of the control group that should vote and do not',
        lambda: status.missing_voters(replica),
    )
    add_gauge(
        'greengagegw_replica_copies',
        'Members that hold all committed entries, if this VM leads',
        lambda: status.copies(replica),
    )
    add_gauge(
        'greengagegw_replica_longest_learner_seconds',
        'Seconds for which a member has been waiting for its vote',
        lambda: status.longest_learner_seconds(replica),
    )
    add_gauge(
        'greengagegw_replica_silent_voters',
        'Voters that do not reply to this VM, if it leads',
        lambda: len(status.silent_voters(replica)),
    )
    add_gauge(
        'greengagegw_replica_failed',
        'Whether the disk of this replica has failed',
        lambda: replica.role is replica_roles.Role.FAILED,
    )
    add_gauge(
        'greengagegw_evacuated_domains',
        'Failure domains that are evacuated',
        lambda: len(control.store.evacuated),
    )
    add_gauge(
        'greengagegw_instance_list_age_seconds',
        'Age of the list of backend servers',
        lambda: process.timers.now() - control.instance_cache.read_at,
    )
    add_gauge(
        'greengagegw_entry_vms',
        'Entry VMs that are known',
        lambda: len(control.registry.last_heartbeats),
    )
    add_gauge(
        'greengagegw_prompt_holds',
        'Holds on requests that end backend servers',
        lambda: len(control.store.holds),
    )


async def run_control(
    settings: platform_settings.Settings, settings_file: str | None
) -> None:
    """Runs a control VM until the stop signal.

    :param settings_file: that is read again when it changes.
    :raises SettingsError: if the data folder or the listener is not set.
    """
    if not settings.data_folder or settings.control_endpoint is None:
        raise errors.SettingsError(
            ('dataDir and listen.control: required for a control VM',)
        )
    process = processes.Process(
        settings,
        settings_file,
        settings.internal_port_range[0],
        client_listeners=2,
    )
    timers = process.timers
    store = stores.Store()
    folder = await files.open_folder(pathlib.Path(settings.data_folder))
    replica = replicas.Replica(
        CONTROL_GROUP,
        process.vm,
        process.seeds(),
        log_storage.Storage(folder),
        replicas.StateMachine(
            store.apply, store.save, store.restore, stores.unpack_command
        ),
        process.mesh,
        timers,
        process.rng,
        may_bootstrap=settings.is_first_start,
        min_voters=2 * settings.max_lost_disks + 1,
        timeouts=timing.CONTROL_TIMEOUTS,
        max_lost_disks=settings.max_lost_disks,
    )
    list_client = instance_list.InstanceListClient(
        settings.instance_list_endpoint, timers, process.ssl_context
    )
    control = controls.ControlServer(
        process.vm,
        timers,
        process.mesh,
        replica,
        store,
        list_client.read,
        documents.decode,
        settings.bounds.quota_slack * QUOTA_DEBT_RATIO,
    )
    process.mesh.handlers.calls.update(replica.handlers())
    control.retry_records = retry_records.RetryRecords(
        timers.now(), settings.bounds.retry_window
    )
    process.mesh.handlers.calls.update(control.handlers())
    application = operator_application.OperatorApplication(timers, control)
    processes.log_start('control', process)
    async with anyio.create_task_group() as tasks:

        async def stop() -> None:
            available = (
                settings.bounds.stop_seconds - processes.EXIT_RESERVE_SECONDS
            )
            async with anyio.create_task_group() as stopping:
                stopping.start_soon(
                    departure.leave,
                    replica,
                    min(LEAVE_TIMEOUT_SECONDS, available),
                )
                await timers.sleep(CONTROL_STOP_DELAY_SECONDS)
            eliot.log_message('process:stopped')
            process.stopped.set()

        async def update_founders() -> None:
            while True:
                await timers.sleep(processes.SETTINGS_POLL_INTERVAL_SECONDS)
                replica.founders = process.seeds()

        await process.start(tasks)
        tasks.start_soon(process.watch_signals, stop)
        tasks.start_soon(replica.run)
        tasks.start_soon(control.run)
        tasks.start_soon(update_founders)
        allowed = servers.ServerSettings(
            processes.MAX_HEADER_BYTES,
            processes.IDLE_TIMEOUT_SECONDS,
            processes.EXIT_RESERVE_SECONDS / 2,
        )
        processes.serve(
            tasks,
            application,
            settings.control_endpoint,
            allowed,
            process,
            process.intake.limit_clients(),
        )
        if settings.directory_endpoint is not None:
            processes.serve(
                tasks,
                application,
                settings.directory_endpoint,
                allowed,
                process,
                process.intake.limit_clients(),
            )
        processes.serve(
            tasks,
            process.serve_metrics,
            platform_settings.Endpoint(settings.host, CONTROL_METRICS_PORT),
            allowed,
            process,
            process.intake.limit_internal(),
        )
        add_control_gauges(process, control)
        await process.stopped.wait()
        await timers.sleep(processes.EXIT_RESERVE_SECONDS / 2)
        tasks.cancel_scope.cancel()
    folder.close()
