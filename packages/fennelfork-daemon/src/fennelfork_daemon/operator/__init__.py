"""Operator API."""
