"""Logging with non-blocking output and rate limits."""
