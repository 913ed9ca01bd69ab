"""Checkers of histories, one for each guarantee."""
