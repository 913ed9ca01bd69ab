"""Serving over HTTP: reading, writing, routes, problem documents."""
