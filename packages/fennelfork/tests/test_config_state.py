"""Tests of the active configuration of a daemon."""

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
    """Documents offered to a daemon with active version 3."""

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
    def test_only_newer_valid_documents_are_accepted(
        self,
        offered: Any,
        outcome: OfferOutcome,
        version: int,
    ) -> None:
        """Guards against a decrease of the version; anomalies are recorded."""
        state = _state()
        before = state.active
        assert state.offer(offered, _PLATFORM) is outcome
        assert state.version == version
        accepted = outcome is OfferOutcome.ACCEPTED
        assert (state.active is not before) == accepted
        refused = outcome not in {OfferOutcome.ACCEPTED, OfferOutcome.SAME}
        assert (_PLATFORM in state.anomalies) == refused

    def test_whitespace_causes_no_conflict(self) -> None:
        """An indented copy of the active document has the same digest."""
        state = _state()
        raw = json.dumps(document_tree(3), indent=2)
        assert state.offer(raw, _PLATFORM) is OfferOutcome.SAME
        assert state.digest == _state().digest

    def test_first_document_is_accepted_with_any_version(self) -> None:
        """A daemon without a document accepts version zero."""
        assert _state(0).active is not None

    def test_older_document_of_a_peer_is_not_an_anomaly(self) -> None:
        """An older document from a peer records no anomaly."""
        state = _state()
        raw = json.dumps(document_tree(2))
        assert state.offer(raw, ConfigSource.PEER) is OfferOutcome.OLDER
        assert not state.anomalies

    def test_conflict_is_cleared_by_an_accepted_document(self) -> None:
        """Another document with the active version is recorded, not accepted."""
        state = _state()
        other = json.dumps({**document_tree(3), 'tenants': {}})
        state.offer(other, _PLATFORM)
        anomaly = state.anomalies[_PLATFORM]
        assert anomaly.version == 3
        assert anomaly.digest != state.digest
        state.offer(json.dumps(document_tree(4)), _PLATFORM)
        assert not state.anomalies

    def test_only_the_platform_confirms_the_document(self) -> None:
        """The document of a peer does not update the confirmation time."""
        manual = ManualTime(at_ms=100)
        state = _state(manual=manual)
        manual.advance(50)
        raw = json.dumps(document_tree(3))
        state.offer(raw, ConfigSource.PEER)
        assert state.confirmed_ms == 100
        state.offer(raw, _PLATFORM)
        assert state.confirmed_ms == 150
