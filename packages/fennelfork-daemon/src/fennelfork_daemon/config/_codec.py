"""Compression of the configuration document for the peer RPC."""

import zlib
from typing import Final

from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, may_have_run

_MAX_BYTES: Final = 1_048_576


def pack_document(raw: str) -> bytes:
    """Compress a configuration document."""
    return zlib.compress(raw.encode())


def unpack_document(packed: bytes) -> Result[str, Failure]:
    """Decompress a configuration document of at most 1 MiB.

    Args:
        packed: compressed document that a peer sent.

    Returns:
        The document, or a failure if the document cannot be decompressed.
    """
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(packed, _MAX_BYTES).decode()
    except (zlib.error, ValueError) as error:
        return Bad(_decode_failure(str(error)))
    if not unpacker.eof:
        return Bad(_decode_failure('the document is truncated or too long'))
    return Success(raw)


def _decode_failure(reason: str) -> Failure:
    detail = f'a peer sent an invalid configuration document: {reason}'
    return may_have_run(FailureCode.BAD_REPLY, detail)
