"""Home daemon: the daemon that schedules the requests of one shard."""
