"""The configuration document between daemons."""

import zlib

import pytest

from fennelfork import FailureCode
from fennelfork_daemon.config._codec import pack_document, unpack_document


class TestUnpack:
    """What a peer sent."""

    def test_gives_back_what_was_packed(self) -> None:
        """A document comes out as it went in, and smaller on the way."""
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
    def test_refuses_what_is_broken_or_too_long(self, packed: bytes) -> None:
        """Nothing that a peer sends raises or fills the memory."""
        failure = unpack_document(packed).failure()
        assert failure.code is FailureCode.BAD_REPLY
