"""The fennelforkd daemon: caller API, operator API and peer RPC."""
