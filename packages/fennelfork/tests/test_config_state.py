"""The configuration in force in one daemon."""

import json
from typing import Any

import pytest
from core_builders_config import document_tree

from fennelfork import ManualTime, manual_clock
from fennelfork.config import (
    ConfigSource,
    ConfigState,
    OfferOutcome,
    config_state,
)

_PLATFORM = ConfigSource.PLATFORM


def _state(version: int = 3, manual: ManualTime | None = None) -> ConfigState:
    state = config_state(manual_clock(manual or ManualTime(at_ms=100)))
    state.offer(json.dumps(document_tree(version)), _PLATFORM)
    return state


class TestOffer:
    """Documents offered to a daemon that holds version 3."""

    @pytest.mark.parametrize(
        ('offered', 'outcome', 'version'),
        [
            (json.dumps(document_tree(4)), OfferOutcome.ACCEPTED, 4),
            (json.dumps(document_tree(9)), OfferOutcome.ACCEPTED, 9),
            (json.dumps(document_tree(3)), OfferOutcome.SAME, 3),
            (json.dumps(document_tree(2)), OfferOutcome.OLDER, 3),
            (
                json.dumps({**document_tree(3), 'tenants': {}}),
                OfferOutcome.CONFLICT,
                3,
            ),
            ('{"version": 4, "other": 1}', OfferOutcome.INVALID, 3),
            ('', OfferOutcome.INVALID, 3),
            (None, OfferOutcome.EMPTY, 3),
        ],
    )
    def test_only_newer_valid_documents_are_taken(
        self,
        offered: Any,
        outcome: OfferOutcome,
        version: int,
    ) -> None:
        """Versions only rise; what should not be is kept for operators."""
        state = _state()
        before = state.active
        assert state.offer(offered, _PLATFORM) is outcome
        assert state.version == version
        taken = outcome is OfferOutcome.ACCEPTED
        assert (state.active is not before) == taken
        refused = outcome not in {OfferOutcome.ACCEPTED, OfferOutcome.SAME}
        assert (_PLATFORM in state.anomalies) == refused

    def test_layout_of_the_text_makes_no_conflict(self) -> None:
        """The same document, indented by hand, is the same document."""
        state = _state()
        raw = json.dumps(document_tree(3), indent=2)
        assert state.offer(raw, _PLATFORM) is OfferOutcome.SAME
        assert state.digest == _state().digest

    def test_first_document_is_taken_whatever_its_version(self) -> None:
        """A daemon that holds nothing takes what there is."""
        assert _state(0).active is not None

    def test_older_document_of_a_peer_is_no_anomaly(self) -> None:
        """A peer that lags is usual."""
        state = _state()
        raw = json.dumps(document_tree(2))
        assert state.offer(raw, ConfigSource.PEER) is OfferOutcome.OLDER
        assert not state.anomalies

    def test_conflict_stays_until_the_source_agrees_again(self) -> None:
        """A different document under one version is shown, never taken."""
        state = _state()
        other = json.dumps({**document_tree(3), 'tenants': {}})
        state.offer(other, _PLATFORM)
        anomaly = state.anomalies[_PLATFORM]
        assert anomaly.version == 3
        assert anomaly.digest != state.digest
        state.offer(json.dumps(document_tree(4)), _PLATFORM)
        assert not state.anomalies

    def test_confirmation_comes_from_the_platform_alone(self) -> None:
        """A peer's word does not make the held document fresh."""
        manual = ManualTime(at_ms=100)
        state = _state(manual=manual)
        manual.advance(50)
        raw = json.dumps(document_tree(3))
        state.offer(raw, ConfigSource.PEER)
        assert state.confirmed_ms == 100
        state.offer(raw, _PLATFORM)
        assert state.confirmed_ms == 150
