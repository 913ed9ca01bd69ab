"""Root daemon: the daemon that coordinates one query."""
