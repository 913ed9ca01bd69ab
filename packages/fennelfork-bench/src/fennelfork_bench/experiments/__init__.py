"""Experiments, a module each."""
