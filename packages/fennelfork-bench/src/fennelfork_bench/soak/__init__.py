"""Randomized soak test that injects faults into real processes."""
