"""Ports: what the core asks of callers, peers, engines and disks."""
