"""Permits of workspaces between daemons, over HTTP."""
