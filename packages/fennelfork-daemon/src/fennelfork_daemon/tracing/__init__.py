"""What was done for single requests."""
