"""Decisions on claims about members."""

import pytest
from core_builders_fleet import build_member

from fennelfork.membership import MemberStatus
from fennelfork.membership._claims import ClaimDecision, evaluate_claim

_ALIVE = MemberStatus.ALIVE
_SUSPECT = MemberStatus.SUSPECT
_LEAVING = MemberStatus.LEAVING
_DEAD = MemberStatus.DEAD


def _known(state: MemberStatus, incarnation: int = 5):
    return build_member('vm-1', state=state, incarnation=incarnation)


class TestEvaluateClaim:
    """Claims of health are stored, claims of failure are verified."""

    @pytest.mark.parametrize('state', list(MemberStatus))
    def test_older_incarnation_is_ignored(self, state: MemberStatus) -> None:
        """A claim about an earlier incarnation is ignored."""
        assert (
            evaluate_claim(_known(_ALIVE), _known(state, 4)) == ClaimDecision()
        )

    @pytest.mark.parametrize('state', [_SUSPECT, _DEAD])
    @pytest.mark.parametrize('incarnation', [5, 6])
    def test_suspicion_of_alive_member_is_verified(
        self,
        state: MemberStatus,
        incarnation: int,
    ) -> None:
        """A member stays alive until a probe from this daemon fails."""
        decision = evaluate_claim(_known(_ALIVE), _known(state, incarnation))
        assert decision.verify
        assert decision.store is None or decision.store.state is _ALIVE

    @pytest.mark.parametrize('state', [_SUSPECT, _DEAD])
    def test_refutation_is_stored(self, state: MemberStatus) -> None:
        """Only the member itself raises its incarnation."""
        claim = _known(_ALIVE, 6)
        assert evaluate_claim(_known(state), claim) == ClaimDecision(
            store=claim
        )

    @pytest.mark.parametrize('state', [_SUSPECT, _LEAVING])
    def test_death_of_suspect_or_leaving_member_is_stored(
        self,
        state: MemberStatus,
    ) -> None:
        """A claim of death is stored for a suspect or leaving member."""
        claim = _known(_DEAD)
        assert evaluate_claim(_known(state), claim) == ClaimDecision(
            store=claim
        )

    @pytest.mark.parametrize('state', [_ALIVE, _SUSPECT])
    def test_leave_is_stored(self, state: MemberStatus) -> None:
        """A leave originates from the member itself."""
        claim = _known(_LEAVING)
        assert evaluate_claim(_known(state), claim) == ClaimDecision(
            store=claim
        )

    def test_unknown_dead_member_is_ignored(self) -> None:
        """Unknown dead members do not fill the table."""
        assert evaluate_claim(None, _known(_DEAD)) == ClaimDecision()
