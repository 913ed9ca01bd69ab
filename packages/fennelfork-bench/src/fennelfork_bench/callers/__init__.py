"""Caller stand-in: open-loop load, tallies and checks of the answers."""
