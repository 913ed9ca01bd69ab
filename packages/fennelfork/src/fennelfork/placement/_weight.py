"""Weights of rendezvous hashing."""

from collections.abc import Iterable

import xxhash

from fennelfork.membership._member import Member


def weight_key(*parts: str) -> int:
    """Return the hash key of a shard or another unit of work to assign."""
    return xxhash.xxh64_intdigest('\0'.join(parts).encode())


def member_weight(key: int, member: Member) -> tuple[int, str]:
    """Return the weight of a member for a key, unique among the members."""
    return xxhash.xxh64_intdigest(member.name.encode(), key), member.name


def heaviest_member(key: int, members: Iterable[Member]) -> Member:
    """Return the member with the highest weight; `members` is not empty."""
    return max(members, key=lambda member: member_weight(key, member))
