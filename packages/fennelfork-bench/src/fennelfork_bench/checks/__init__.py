"""Checkers of histories, one a promise."""
