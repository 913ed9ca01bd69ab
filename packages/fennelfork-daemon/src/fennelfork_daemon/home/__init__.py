"""Home daemons: scheduling of the requests of each shard."""
