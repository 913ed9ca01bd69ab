"""Prometheus metrics with a limit on label values."""
