"""A deployment whose VMs come and go, and find each other through seeds."""
