"""Status report and gauges of a VM."""

import typing

from . import __version__

if typing.TYPE_CHECKING:
    from . import vm as vms


def describe_vm(vm: 'vms.Vm') -> dict[str, typing.Any]:
    """Returns the status of a VM as JSON-compatible values."""
    now = vm.timers.now()
    return {
        'vm': vm.settings.vm,
        'region': vm.settings.region,
        'version': __version__,
        'ready': vm.is_ready(),
        'leaving': vm.membership.is_leaving,
        'revision': vm.view.revision,
        'table_revision': vm.view.configuration.table_revision,
        'configuration_from': vm.distribution.source,
        'withdrawals_not_durable': sorted(vm.view.uncommitted),
        'requests_in_flight': vm.gateway.total_in_flight,
        'holds_region_lease': vm.lease.is_held,
        'replicas': {
            group: {
                'role': replica.role.value,
                'leader': replica.leader,
                'term': replica.term,
                'committed': replica.commit_index,
                'failure': replica.failure and replica.failure.message,
                'members': [
                    {'vm': member.vm, 'votes': member.is_voter}
                    for member in replica.members.members
                ],
            }
            for group, replica in vm.replicas.items()
        },
        'vms': {
            peer.vm: {
                'alive': vm.membership.is_alive(peer.vm),
                'takes_callers': vm.membership.accepts_clients(peer.vm),
            }
            for peer in vm.settings.peers
        },
        'backend_servers': {
            server.name: {
                'leaving': server.is_leaving,
                'ejected': server.ejected_until > now,
                'load': round(server.load(now), 2),
                'report_age_seconds': (
                    round(now - server.report.received_at, 2)
                    if server.report
                    else None
                ),
                'room': round(server.capacity(now), 2),
            }
            for server in vm.backend_pool.by_name.values()
        },
    }


def update_gauges(vm: 'vms.Vm') -> None:
    """Sets the gauges to the current values."""
    now = vm.timers.now()
    metrics = vm.metrics
    metrics.requests_in_flight.set(vm.gateway.total_in_flight)
    metrics.revision.set(vm.view.revision)
    metrics.peer_bytes_sent.set(vm.mesh.total_bytes_sent)
    intake = vm.intake
    metrics.request_memory.set(intake.memory.held_bytes)
    metrics.request_memory_limit.set(intake.memory.limits.request_bytes)
    metrics.client_connections.set(intake.connections)
    metrics.client_connections_limit.set(intake.max_connections)
    for reason, count in intake.memory.rejections.items():
        metrics.intake_rejected.labels(reason).set(count)
    for server in vm.backend_pool.by_name.values():
        metrics.backend_server_load.labels(server.name).set(server.load(now))
        metrics.backend_server_limit.labels(server.name).set(
            server.capacity(now)
        )
    for service in vm.backend_pool.services.values():
        metrics.queue_length.labels(service.name).set(service.waiting)
    for organisation, pool in vm.quota_client.pools.items():
        metrics.tokens_held.labels(organisation).set(pool.available(now))
