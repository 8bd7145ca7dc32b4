"""Raft consensus: leader election, log replication and storage."""
