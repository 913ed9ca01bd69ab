"""The fennelforkd daemon: caller, operator and peer faces."""
