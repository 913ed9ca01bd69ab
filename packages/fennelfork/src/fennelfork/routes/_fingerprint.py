"""What makes two requests the same, whatever their ids are."""

import hashlib
from collections.abc import Iterable
from typing import Final

# Half of the digest of SHA-256: nobody finds a second request that has it.
_DIGEST_BYTES: Final = 16
_LENGTH_BYTES: Final = 8


def fingerprint(parts: Iterable[bytes]) -> str:
    """Name a request by all that decides what its servers do with it.

    Each part counts with its length, so that no two requests share a name
    because one has at the end of a part what the other has at the beginning
    of the next.

    Args:
        parts: of the request, always in the same order.

    Returns:
        32 hexadecimal digits.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.digest()[:_DIGEST_BYTES].hex()
