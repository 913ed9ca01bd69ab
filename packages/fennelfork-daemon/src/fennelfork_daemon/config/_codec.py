"""The configuration document as it crosses between daemons."""

import zlib
from typing import Final

from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, may_have_run

_MAX_BYTES: Final = 1_048_576


def pack_document(raw: str) -> bytes:
    """Compress a document."""
    return zlib.compress(raw.encode())


def unpack_document(packed: bytes) -> Result[str, Failure]:
    """Decompress a document, at most a megabyte of it.

    Args:
        packed: what a peer sent.

    Returns:
        The document, or why it cannot be read.
    """
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(packed, _MAX_BYTES).decode()
    except (zlib.error, ValueError) as error:
        return Bad(_unreadable(str(error)))
    if not unpacker.eof:
        return Bad(_unreadable('it is cut short or too long'))
    return Success(raw)


def _unreadable(reason: str) -> Failure:
    detail = f'a peer sent a document that cannot be read: {reason}'
    return may_have_run(FailureCode.BAD_REPLY, detail)
