"""Drains a VM: finishes its requests before the process exits."""

import collections.abc

import eliot

from .. import gateway as gateways
from .. import settings as settings_module
from .. import timers as timer_service
from ..adapters import peer_mesh
from ..allowance import lease as leases
from ..allowance import quota_client as quota_clients
from ..membership import gossip

POLL_INTERVAL_SECONDS = 0.05


async def drain(
    settings: settings_module.Settings,
    timers: timer_service.Timers,
    membership: gossip.Gossip,
    mesh: peer_mesh.PeerMesh,
    gateway: gateways.Gateway,
    quota_client: quota_clients.QuotaClient,
    lease: leases.RegionLease,
    close_listener: collections.abc.Callable[[], None],
) -> None:
    """Takes a VM out of service and returns when its requests have ended.

    The VM is first removed from the list of entry VMs, and keeps serving
    for as long as clients may use a cached list. Then it closes its client
    listener, resigns the lease, waits at most ``stop_seconds`` for requests
    in flight, and returns unused quota.
    """
    eliot.log_message('stop:leaving')
    await membership.leave()
    await timers.sleep(settings.timeouts.entries_ttl_seconds)
    close_listener()
    await lease.resign()
    with timers.move_on_after(settings.timeouts.stop_seconds):
        while gateway.total_in_flight or mesh.active_streams:
            await timers.sleep(POLL_INTERVAL_SECONDS)
    await quota_client.return_all()
    eliot.log_message('stop:drained')
