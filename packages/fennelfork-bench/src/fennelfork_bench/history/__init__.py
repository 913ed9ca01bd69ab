"""Histories of events that callers, servers and operators record."""
