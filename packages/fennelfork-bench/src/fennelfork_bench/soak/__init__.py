"""The randomized soak."""
