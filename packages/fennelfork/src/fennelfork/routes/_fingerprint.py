"""Fingerprints that identify equal requests across request ids."""

import hashlib
from collections.abc import Iterable
from typing import Final

# Half of a SHA-256 digest is still collision-resistant.
_DIGEST_BYTES: Final = 16
_LENGTH_BYTES: Final = 8


def fingerprint(parts: Iterable[bytes]) -> str:
    """Return the fingerprint of a request.

    The length of each part is hashed with the part, so that two requests that
    split the same bytes differently have different fingerprints.

    Args:
        parts: parts of the request that determine how backend servers process
            the request, always in the same order.

    Returns:
        32 hexadecimal digits.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.digest()[:_DIGEST_BYTES].hex()
