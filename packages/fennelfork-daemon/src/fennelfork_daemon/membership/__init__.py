"""Membership: probes, the VM list and the member of this daemon."""
