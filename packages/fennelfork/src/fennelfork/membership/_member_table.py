"""All that one daemon knows of the fleet, with digests to compare it."""

import random
from collections.abc import Iterator
from typing import Final

import attrs
import xxhash

from fennelfork.membership._member import Member, MemberStatus

_BUCKETS: Final = 32
_DIGEST_BYTES: Final = 4
_DIGESTS_BYTES: Final = _BUCKETS * _DIGEST_BYTES


def _no_digests() -> list[int]:
    return [0 for _ in range(_BUCKETS)]


@attrs.define(kw_only=True)
class MemberTable:
    """Members by name.

    The digests are one number for each bucket of names, kept up to date with
    each change, so that two daemons find out with 128 bytes which part of
    their tables differs. Dead members and suspicions do not count in them:
    the first are forgotten at different times, the second are each daemon's
    own.

    Attributes:
        epoch: rises with each change that matters to homes and entries.
        live_count: how many members are not dead.
    """

    epoch: int = 0
    live_count: int = 0
    _by_name: dict[str, Member] = attrs.field(factory=dict)
    _reconfigured: set[str] = attrs.field(factory=set)
    _digests: list[int] = attrs.field(factory=_no_digests)

    @property
    def digests(self) -> bytes:
        """The digests of all buckets, joined."""
        return b''.join(
            digest.to_bytes(_DIGEST_BYTES, 'big') for digest in self._digests
        )

    def __iter__(self) -> Iterator[Member]:
        """Go over all members, dead ones too."""
        return iter(self._by_name.values())

    def __len__(self) -> int:
        """Count all members, dead ones too."""
        return len(self._by_name)

    def get(self, name: str) -> Member | None:
        """Give the member called `name`, if known."""
        return self._by_name.get(name)

    def put(self, member: Member) -> None:
        """Store `member` in place of what was known of that name."""
        known = self._by_name.get(member.name)
        self._by_name[member.name] = member
        if (
            known is None
            or known.without_config_version != member.without_config_version
        ):
            self.epoch += 1
        elif known != member:
            self._reconfigured.add(member.name)
        self._toggle_digest(known, -1)
        self._toggle_digest(member, 1)

    def take_reconfigured(self) -> tuple[Member, ...]:
        """Give members of which only the configuration changed since."""
        names = sorted(self._reconfigured & self._by_name.keys())
        self._reconfigured.clear()
        return tuple(self._by_name[name] for name in names)

    def remove(self, name: str) -> None:
        """Drop all that is known of `name`."""
        known = self._by_name.pop(name, None)
        self._toggle_digest(known, -1)
        self.epoch += 1

    def members_to_sync(
        self,
        digests: bytes,
        limit: int,
        rng: random.Random,
    ) -> tuple[Member, ...]:
        """Give members of buckets that differ from another daemon's.

        Args:
            digests: the other daemon's; of a wrong size, nothing is given.
            limit: how many members to give at most.
            rng: which bucket comes first, so that each gets its turn.

        Returns:
            Members in any state, at most `limit`.
        """
        if len(digests) != _DIGESTS_BYTES:
            return ()
        buckets = set(self._find_differing_buckets(digests))
        if not buckets:
            return ()
        found = [member for member in self if _bucket(member.name) in buckets]
        rng.shuffle(found)
        return tuple(found[:limit])

    def _find_differing_buckets(self, digests: bytes) -> Iterator[int]:
        for bucket, own in enumerate(self._digests):
            start = bucket * _DIGEST_BYTES
            other = digests[start : start + _DIGEST_BYTES]
            if own != int.from_bytes(other, 'big'):
                yield bucket

    def _toggle_digest(self, member: Member | None, count: int) -> None:
        if member is None or member.state is MemberStatus.DEAD:
            return
        self.live_count += count
        digest_input = (member.name, member.incarnation, member.state.value)
        text = f'{digest_input}{member.is_ready}'
        digest = xxhash.xxh32_intdigest(text.encode())
        self._digests[_bucket(member.name)] ^= digest


def _bucket(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % _BUCKETS
