"""What makes two requests the same."""

from hypothesis import given
from hypothesis import strategies as st

from fennelfork.routes import fingerprint

PARTS = st.lists(st.binary(max_size=8), max_size=5)


class TestFingerprint:
    """One name for one request, another for any other."""

    @given(one=PARTS, other=PARTS)
    def test_tells_apart(self, one: list[bytes], other: list[bytes]) -> None:
        """Also where the same bytes are split in another way."""
        same = fingerprint(one) == fingerprint(other)
        assert same == (one == other)

    def test_form(self) -> None:
        """It is short and fits into a key of the store."""
        found = fingerprint([b'GET', b'/rafts/7'])
        assert len(found) == 32
        assert int(found, 16)
