"""Which VMs and targets may get new work."""
