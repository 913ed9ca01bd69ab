"""Fingerprints of requests."""

from hypothesis import given
from hypothesis import strategies as st

from fennelfork.routes import fingerprint

PARTS = st.lists(st.binary(max_size=8), max_size=5)


class TestFingerprint:
    """Equal requests have equal fingerprints, different ones do not."""

    @given(one=PARTS, other=PARTS)
    def test_distinguishes_requests(
        self, one: list[bytes], other: list[bytes]
    ) -> None:
        """Requests that split the same bytes differently are distinguished."""
        same = fingerprint(one) == fingerprint(other)
        assert same == (one == other)

    def test_format(self) -> None:
        """A fingerprint has 32 hexadecimal digits and fits into a store key."""
        digest = fingerprint([b'GET', b'/rafts/7'])
        assert len(digest) == 32
        assert int(digest, 16)
