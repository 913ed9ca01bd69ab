"""Demo of a small fleet whose processes are killed under load."""
