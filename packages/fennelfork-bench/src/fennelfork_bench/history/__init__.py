"""Histories: what callers, servers and operators saw."""
