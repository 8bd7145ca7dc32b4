"""Membership: which VMs are alive, and the load of each region."""
