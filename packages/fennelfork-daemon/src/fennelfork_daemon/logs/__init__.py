"""Log lines: written without waiting, bounded in volume."""
