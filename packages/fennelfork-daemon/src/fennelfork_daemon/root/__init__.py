"""The root of a query: pins a snapshot, scatters, merges, answers."""
