"""The operator face."""
