"""Stand-ins, test rig and experiments of the fennelfork query tier."""

from fennelfork_bench import _quiet as _quiet
