"""Experiments of the test bench, one module per experiment."""
