"""Calls to backend servers over HTTP, and the connections they take."""
