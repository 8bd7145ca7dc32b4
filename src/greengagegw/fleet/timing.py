"""How long the VMs of a fleet wait for each other, in seconds."""

from ..replication import timing as replication_timing

# Round trips between regions take 0.11 s. An election, with a poll before
# and after it, must end before a lease of 4.5 s does.
CONTROL_TIMEOUTS = replication_timing.Timeouts(1.0, 0.25)
# An entry VM that missed four polls leaves the directory well before the
# platform's tightest bound on stale answers, which is 8 s.
POLL_INTERVAL_SECONDS = 0.5
# Signs of life cross regions, where bytes are priced.
HEARTBEAT_INTERVAL_SECONDS = 0.95
ENTRY_VM_TIMEOUT_SECONDS = 2.5
# A poll may need two round trips between regions of 0.11 s and a sync.
POLL_TIMEOUT_SECONDS = 0.8
READ_INDEX_TIMEOUT_SECONDS = 0.6
# Two reads, the list's own lag and a poll fit a drain bound of 5 s twice.
INSTANCE_LIST_INTERVAL_SECONDS = 0.7
INSTANCE_LIST_MAX_AGE_SECONDS = 2.0
# The part of the revocation bound that covers a request which was checked
# but not sent yet, and the error of a clock.
LEASE_MARGIN_SECONDS = 0.5
# A grant must outlive a poll or two, and end soon when its holder is lost.
GRANT_LIFETIME_SECONDS = 2.0
GRANT_REQUEST_TIMEOUT_SECONDS = 0.35
SUBMIT_TIMEOUT_SECONDS = 4.0
