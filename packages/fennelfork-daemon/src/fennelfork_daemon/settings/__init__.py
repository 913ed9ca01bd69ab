"""The settings file: read, checked, with all problems named."""
