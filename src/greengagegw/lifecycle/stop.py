"""Stops a VM without cutting a request."""

import collections.abc

import eliot

from .. import gateway as gateways
from .. import settings as settings_module
from .. import timers as timer_service
from ..adapters import peer_mesh
from ..allowance import lease as leases
from ..allowance import quota_client as quota_clients
from ..membership import gossip

POLL_SECONDS = 0.05


async def drain(
    settings: settings_module.Settings,
    timers: timer_service.Timers,
    membership: gossip.Gossip,
    mesh: peer_mesh.PeerMesh,
    gateway: gateways.Gateway,
    wallet: quota_clients.QuotaClient,
    lease: leases.RegionLease,
    close_entry: collections.abc.Callable[[], None],
) -> None:
    """Takes a VM out of service and returns when nothing runs on it.

    The VM first leaves the directory of entries, and goes on serving for
    as long as callers may go by an older answer. Then it hands back what
    it holds, refuses new connections, and waits for what runs.
    """
    eliot.log_message('stop:leaving')
    await membership.leave()
    await timers.sleep(settings.timeouts.entries_ttl_seconds)
    close_entry()
    await lease.resign()
    with timers.move_on_after(settings.timeouts.stop_seconds):
        while gateway.total_in_flight or mesh.active_streams:
            await timers.sleep(POLL_SECONDS)
    await wallet.return_all()
    eliot.log_message('stop:drained')
