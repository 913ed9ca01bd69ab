"""Tests of the compression of configuration documents."""

import zlib

import pytest

from fennelfork import FailureCode
from fennelfork_daemon.config._codec import pack_document, unpack_document


class TestUnpack:
    """Decompression of documents that a peer sent."""

    def test_round_trip_keeps_document(self) -> None:
        """Guards against a changed document and against missing compression."""
        raw = '{"version":1}' * 1000
        packed = pack_document(raw)
        assert unpack_document(packed).unwrap() == raw
        assert len(packed) < len(raw) / 10

    @pytest.mark.parametrize(
        'packed',
        [
            b'',
            b'no document',
            pack_document('{"version":1}')[:-3],
            zlib.compress(b'\xff\xfe'),
            zlib.compress(bytes(5_000_000)),
        ],
    )
    def test_rejects_invalid_or_oversized_document(self, packed: bytes) -> None:
        """Guards against exceptions and unbounded memory use by peer data."""
        failure = unpack_document(packed).failure()
        assert failure.code is FailureCode.BAD_REPLY
