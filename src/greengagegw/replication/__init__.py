"""A replicated log: election, storage and snapshots."""
