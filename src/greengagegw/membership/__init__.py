"""Which VMs are alive."""
