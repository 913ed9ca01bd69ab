"""The platform's key-value service as fronts use it."""
