"""Peer RPC: typed messages and calls between daemons."""
