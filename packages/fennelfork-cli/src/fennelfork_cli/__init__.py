"""Command line for the operators of fennelfork."""
