"""Index of the keys of all workspaces, held as digests."""

import bisect
import hmac
import itertools
from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork.workspaces._key_digest import DIGEST_BYTES, digest_key

_POSITION_BYTES: Final = 4
_ENTRY_BYTES: Final = DIGEST_BYTES + _POSITION_BYTES


@attrs.frozen(kw_only=True)
class KeyIndex:
    """Maps keys to the positions of their workspaces.

    The entries are sorted in one string of bytes, because a mapping of as many
    small objects takes several times the memory.
    """

    _entries: bytes = attrs.field(repr=False)

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._entries) // _ENTRY_BYTES

    def find(self, key: str) -> int | None:
        """Return the position of the workspace that holds a key, if any."""
        if not key.isascii():
            return None
        digest = digest_key(key)
        rank = bisect.bisect_left(range(len(self)), digest, key=self._digest_at)
        # The digests before the rank depend on a secret, so only the last
        # comparison needs a constant time.
        if rank < len(self) and hmac.compare_digest(
            self._digest_at(rank), digest
        ):
            return self._position_at(rank)
        return None

    def first_shared(self) -> tuple[bytes, int, int] | None:
        """Return a digest with the positions of two workspaces that share it."""
        digests = set(map(self._digest_at, range(len(self))))
        if len(digests) == len(self):
            return None
        for rank, following in itertools.pairwise(range(len(self))):
            digest = self._digest_at(rank)
            positions = self._position_at(rank), self._position_at(following)
            is_repeated = digest == self._digest_at(following)
            if is_repeated and positions[0] != positions[1]:
                return digest, *positions
        return None

    def _digest_at(self, rank: int) -> bytes:
        start = rank * _ENTRY_BYTES
        return self._entries[start : start + DIGEST_BYTES]

    def _position_at(self, rank: int) -> int:
        start = rank * _ENTRY_BYTES + DIGEST_BYTES
        return int.from_bytes(self._entries[start : start + _POSITION_BYTES])


def key_index(keys_by_position: Iterable[Iterable[str]]) -> KeyIndex:
    """Create the index of the keys of workspaces.

    Args:
        keys_by_position: keys of each workspace, in ASCII.
    """
    entries = sorted(
        digest_key(key) + position.to_bytes(_POSITION_BYTES)
        for position, keys in enumerate(keys_by_position)
        for key in keys
    )
    return KeyIndex(entries=b''.join(entries))
