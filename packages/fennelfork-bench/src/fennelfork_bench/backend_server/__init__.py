"""The stand-in of a backend server."""
