"""Digests of the keys of workspaces, which replace the keys in memory."""

import hashlib
import os
from typing import Final

DIGEST_BYTES: Final = 16
# New with each process, so that a digest is useless outside of the process.
_SECRET: Final = os.urandom(hashlib.blake2b.MAX_KEY_SIZE)
# Equal in all processes, so that operators can compare fingerprints. Too short
# to identify a key among all possible keys.
FINGERPRINT_BYTES: Final = 4
_FINGERPRINT_PURPOSE: Final = b'key fingerprint'


def digest_key(key: str) -> bytes:
    """Return the digest by which this process recognises a key.

    Args:
        key: key of a workspace, in ASCII.
    """
    return hashlib.blake2b(
        key.encode('ascii'), digest_size=DIGEST_BYTES, key=_SECRET
    ).digest()


def key_fingerprint(key: str) -> str:
    """Return eight hexadecimal digits by which operators tell keys apart.

    Args:
        key: key, not necessarily of a workspace.
    """
    return fingerprint_key(key).hex()


def fingerprint_key(key: str) -> bytes:
    """Return the bytes of the fingerprint of a key.

    Args:
        key: key, not necessarily of a workspace.
    """
    return hashlib.blake2b(
        key.encode(errors='surrogatepass'),
        digest_size=FINGERPRINT_BYTES,
        person=_FINGERPRINT_PURPOSE,
    ).digest()
