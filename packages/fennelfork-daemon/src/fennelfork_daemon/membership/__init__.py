"""Members: probes, the VM list, what this daemon says of itself."""
