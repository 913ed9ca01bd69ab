"""The caller face of fronts: queries and entries."""
