"""Token limits of organisations over all VMs."""
