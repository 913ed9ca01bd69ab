"""Test rig: processes, fleets and reports shared by all experiments."""
