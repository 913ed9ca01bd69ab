"""The peer face: typed messages and calls between daemons."""
