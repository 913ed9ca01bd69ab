"""The caller API of fronts: queries and entries."""
