"""Counters and histograms, with bounded labels."""
