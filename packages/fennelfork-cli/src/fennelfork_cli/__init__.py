"""The fennelfork operator command."""
