"""Weights of rendezvous hashing."""

from collections.abc import Iterable

import xxhash

from fennelfork.membership._member import Member


def weight_key(*parts: str) -> int:
    """Give the number that stands for what is to be assigned."""
    return xxhash.xxh64_intdigest('\0'.join(parts).encode())


def member_weight(key: int, member: Member) -> tuple[int, str]:
    """Give the weight of a member for a key; no two members weigh the same."""
    return xxhash.xxh64_intdigest(member.name.encode(), key), member.name


def heaviest_member(key: int, members: Iterable[Member]) -> Member:
    """Give the member of the highest weight; there must be one."""
    return max(members, key=lambda member: member_weight(key, member))
