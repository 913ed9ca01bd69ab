"""Fingerprints of the keys of all workspaces."""

import array
from collections.abc import Iterable, Sequence

import attrs

from fennelfork.workspaces._key_digest import (
    FINGERPRINT_BYTES,
    fingerprint_key,
)


@attrs.frozen(kw_only=True)
class KeyFingerprints:
    """Fingerprints of keys by the position of their workspace.

    The fingerprints are concatenated, because as many strings take several
    times the memory.
    """

    _fingerprints: bytes = attrs.field(repr=False)
    # Offsets, in bytes, at which the fingerprints of each position end.
    _ends: Sequence[int] = attrs.field(repr=False)

    def at(self, position: int) -> tuple[str, ...]:
        """Return the fingerprints of the keys of a workspace, in order.

        Args:
            position: position of the workspace.
        """
        start = self._ends[position - 1] if position else 0
        return tuple(
            self._fingerprints[offset : offset + FINGERPRINT_BYTES].hex()
            for offset in range(start, self._ends[position], FINGERPRINT_BYTES)
        )


def key_fingerprints(
    keys_by_position: Iterable[Iterable[str]],
) -> KeyFingerprints:
    """Create the fingerprints of the keys of workspaces.

    Args:
        keys_by_position: keys of each workspace, in ASCII. A repeated key has
            one fingerprint.
    """
    fingerprints = bytearray()
    ends = array.array('I')
    for keys in keys_by_position:
        fingerprints += b''.join(sorted(map(fingerprint_key, set(keys))))
        ends.append(len(fingerprints))
    return KeyFingerprints(fingerprints=bytes(fingerprints), ends=ends)
