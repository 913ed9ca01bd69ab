"""Configuration of a daemon: activation, patches and exchange with peers."""
