"""The configuration: taken, held, patched and given to peers."""
