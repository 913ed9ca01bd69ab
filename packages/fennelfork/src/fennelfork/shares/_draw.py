"""Draw of a request, which is the same wherever it is repeated."""

from typing import Final

import xxhash

_HASH_BITS: Final = 64
_HASH_RANGE: Final = 2**_HASH_BITS


def hash_fraction(request_id: str) -> float:
    """Return the hash of a request id as a fraction between 0 and 1.

    All home daemons compute the same fraction, so that under overload they
    admit the same requests. Independent decisions would waste the work of
    queries that only some of the home daemons admit.
    """
    return xxhash.xxh64_intdigest(request_id.encode()) / _HASH_RANGE
