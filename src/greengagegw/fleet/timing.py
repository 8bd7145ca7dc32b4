"""Intervals and timeouts between the VMs of a fleet, in seconds."""

from ..replication import timing as replication_timing

# A round trip between regions takes 0.11 s. An election, with a poll before
# and after it, must end within a lease of 4.5 s.
CONTROL_TIMEOUTS = replication_timing.Timeouts(1.0, 0.25)
# The registry drops an entry VM after four missed polls, well within the
# platform's tightest bound on stale replies, which is 8 s.
POLL_INTERVAL_SECONDS = 0.5
# Heartbeats cross regions, where traffic is billed by the byte.
HEARTBEAT_INTERVAL_SECONDS = 0.95
ENTRY_VM_TIMEOUT_SECONDS = 2.5
# Retries of the last moments before all entry VMs end are lost. While many
# requests fail, one report covers several retries.
RETRY_REPORT_INTERVAL_SECONDS = 0.1
# A poll may need two round trips between regions of 0.11 s and a disk sync.
POLL_TIMEOUT_SECONDS = 0.8
CONTROL_CALL_TIMEOUT_SECONDS = 0.6
# Two reads, the lag of the list itself and a poll fit twice into a drain
# bound of 5 s.
INSTANCE_LIST_INTERVAL_SECONDS = 0.7
INSTANCE_LIST_MAX_AGE_SECONDS = 2.0
# The part of the revocation bound that covers clock error and a request that
# was authenticated but not sent yet.
LEASE_MARGIN_SECONDS = 0.5
# A grant must outlive one or two polls, but expire soon when its holder is
# lost.
GRANT_LIFETIME_SECONDS = 2.0
GRANT_REQUEST_TIMEOUT_SECONDS = 0.35
SUBMIT_TIMEOUT_SECONDS = 4.0
