"""Loading and validation of the settings file."""
