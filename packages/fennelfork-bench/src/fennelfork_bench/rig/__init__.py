"""Processes, fleets and reports that all experiments use."""
