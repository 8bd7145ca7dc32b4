"""Deployments whose VMs join and leave, and find each other through seeds."""
