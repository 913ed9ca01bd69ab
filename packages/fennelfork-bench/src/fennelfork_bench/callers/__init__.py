"""The stand-in of callers."""
