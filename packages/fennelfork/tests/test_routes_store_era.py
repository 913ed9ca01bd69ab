"""Era of the store.

Guards against a response that is believed although it, or the call that it
answers, belongs to an era that ended.
"""

import pytest

from fennelfork.routes import EraChange, StoreEra


class TestAccept:
    """Responses that state an era, or none."""

    @pytest.mark.parametrize('stated', [None, 1])
    def test_same_era(self, stated: int | None) -> None:
        """A response of the current era counts, also if it states none."""
        era = StoreEra()
        assert era.accept(None, 1)
        assert era.accept(1, stated)
        assert era.number == 1

    def test_no_era(self) -> None:
        """A store without eras is used as it is."""
        era = StoreEra()
        assert era.accept(None, None)
        assert era.number is None

    @pytest.mark.parametrize('current', [2, 7, 0])
    def test_other_era(self, current: int) -> None:
        """A response of another era does not count, and is reported once."""
        changes: list[EraChange] = []
        era = StoreEra()
        era.accept(None, 1)
        era.add_listener(changes.append)
        assert not era.accept(1, current)
        assert era.accept(current, current)
        assert changes == [EraChange(previous=1, current=current)]

    @pytest.mark.parametrize('stated', [None, 1, 2])
    def test_call_of_an_era_that_ended(self, stated: int | None) -> None:
        """Another call has learned of the change in the meantime."""
        changes: list[EraChange] = []
        era = StoreEra()
        era.accept(None, 1)
        era.accept(1, 2)
        era.add_listener(changes.append)
        assert not era.accept(1, stated)
        assert era.number == 2
        assert not changes

    def test_first_calls(self) -> None:
        """Two calls before the first response both count."""
        era = StoreEra()
        assert era.accept(None, 3)
        assert era.accept(None, 3)
