"""What a VM tells operators of itself."""

import typing

from . import __version__

if typing.TYPE_CHECKING:
    from . import vm as vms


def describe_vm(vm: 'vms.Vm') -> dict[str, typing.Any]:
    """Returns the status that operators see."""
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
                    {'vm': one.vm, 'votes': one.is_voter}
                    for one in replica.members.members
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
            runner.name: {
                'leaving': runner.is_leaving,
                'ejected': runner.ejected_until > now,
                'load': round(runner.load(now), 2),
                'report_age_seconds': (
                    round(now - runner.report.received_at, 2)
                    if runner.report
                    else None
                ),
                'room': round(runner.capacity(now), 2),
            }
            for runner in vm.backend_pool.by_name.values()
        },
    }


def update_gauges(vm: 'vms.Vm') -> None:
    """Brings the gauges up to date."""
    now = vm.timers.now()
    metrics = vm.metrics
    metrics.requests_in_flight.set(vm.gateway.total_in_flight)
    metrics.revision.set(vm.view.revision)
    metrics.peer_bytes_sent.set(vm.mesh.total_bytes_sent)
    for runner in vm.backend_pool.by_name.values():
        metrics.backend_server_load.labels(runner.name).set(runner.load(now))
        metrics.backend_server_limit.labels(runner.name).set(
            runner.capacity(now)
        )
    for service in vm.backend_pool.services.values():
        metrics.queue_length.labels(service.name).set(service.waiting)
    for name, purse in vm.quota_client.pools.items():
        metrics.tokens_held.labels(name).set(purse.available(now))
