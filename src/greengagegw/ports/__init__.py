"""Interfaces of the core to clients, peers, backend servers and disks."""
