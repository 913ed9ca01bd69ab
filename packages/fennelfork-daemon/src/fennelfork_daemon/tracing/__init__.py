"""Traces of single requests."""
