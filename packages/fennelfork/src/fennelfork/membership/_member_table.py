"""Table of all known members with digests for synchronisation."""

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
    """Members by name, with one digest for each bucket of names.

    Two daemons compare digests of 128 bytes to find the buckets in which their
    tables differ. Digests leave out dead members, which daemons remove at
    different times.

    Attributes:
        epoch: number that rises with each change of home daemons or entry
            answers.
        live_count: number of members that are not dead.
    """

    epoch: int = 0
    live_count: int = 0
    _by_name: dict[str, Member] = attrs.field(factory=dict)
    _reconfigured: set[str] = attrs.field(factory=set)
    _digests: list[int] = attrs.field(factory=_no_digests)

    @property
    def digests(self) -> bytes:
        """The digests of all buckets of members, concatenated."""
        return b''.join(
            digest.to_bytes(_DIGEST_BYTES, 'big') for digest in self._digests
        )

    def __iter__(self) -> Iterator[Member]:
        """Iterate over all members, including dead ones."""
        return iter(self._by_name.values())

    def __len__(self) -> int:
        """Return the number of members, including dead ones."""
        return len(self._by_name)

    def get(self, name: str) -> Member | None:
        """Return the member called `name`, if known."""
        return self._by_name.get(name)

    def put(self, member: Member) -> None:
        """Store `member` in place of any record with the same name."""
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
        """Return members with only a new configuration since the last call."""
        names = sorted(self._reconfigured & self._by_name.keys())
        self._reconfigured.clear()
        return tuple(self._by_name[name] for name in names)

    def remove(self, name: str) -> None:
        """Remove the member called `name`."""
        known = self._by_name.pop(name, None)
        self._toggle_digest(known, -1)
        self.epoch += 1

    def members_to_sync(
        self,
        digests: bytes,
        limit: int,
        rng: random.Random,
    ) -> tuple[Member, ...]:
        """Return members of buckets whose digest differs from another daemon's.

        Args:
            digests: digests of the other daemon; an unexpected size yields
                no members.
            limit: maximum number of members.
            rng: source of the random choice among the members.

        Returns:
            Members in any state, at most `limit`.
        """
        if len(digests) != _DIGESTS_BYTES:
            return ()
        buckets = set(self._find_differing_buckets(digests))
        if not buckets:
            return ()
        differing_members = [
            member for member in self if _bucket_of(member.name) in buckets
        ]
        rng.shuffle(differing_members)
        return tuple(differing_members[:limit])

    def _find_differing_buckets(self, digests: bytes) -> Iterator[int]:
        for bucket, own_digest in enumerate(self._digests):
            start = bucket * _DIGEST_BYTES
            other = digests[start : start + _DIGEST_BYTES]
            if own_digest != int.from_bytes(other, 'big'):
                yield bucket

    def _toggle_digest(self, member: Member | None, count: int) -> None:
        if member is None or member.state is MemberStatus.DEAD:
            return
        self.live_count += count
        digest_input = (member.name, member.incarnation, member.state.value)
        text = f'{digest_input}{member.is_ready}'
        digest = xxhash.xxh32_intdigest(text.encode())
        self._digests[_bucket_of(member.name)] ^= digest


def _bucket_of(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % _BUCKETS
