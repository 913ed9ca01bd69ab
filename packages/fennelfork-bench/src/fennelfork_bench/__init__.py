"""Stand-ins, rig and experiments of the fennelfork query tier."""
