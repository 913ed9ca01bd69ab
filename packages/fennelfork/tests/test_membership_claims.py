"""What to believe of a claim."""

import pytest
from core_builders_fleet import a_member

from fennelfork.membership import MemberStatus
from fennelfork.membership._claims import ClaimDecision, evaluate_claim

_ALIVE = MemberStatus.ALIVE
_SUSPECT = MemberStatus.SUSPECT
_LEAVING = MemberStatus.LEAVING
_DEAD = MemberStatus.DEAD


def _known(state: MemberStatus, incarnation: int = 5):
    return a_member('vm-1', state=state, incarnation=incarnation)


class TestWeighClaim:
    """Good news is believed, bad news verified."""

    @pytest.mark.parametrize('state', list(MemberStatus))
    def test_older_is_ignored(self, state: MemberStatus) -> None:
        """What is said of an earlier incarnation counts for nothing."""
        assert (
            evaluate_claim(_known(_ALIVE), _known(state, 4)) == ClaimDecision()
        )

    @pytest.mark.parametrize('state', [_SUSPECT, _DEAD])
    @pytest.mark.parametrize('incarnation', [5, 6])
    def test_doubt_of_a_healthy_one_is_verified(
        self,
        state: MemberStatus,
        incarnation: int,
    ) -> None:
        """It stays alive here until an own probe fails."""
        belief = evaluate_claim(_known(_ALIVE), _known(state, incarnation))
        assert belief.verify
        assert belief.store is None or belief.store.state is _ALIVE

    @pytest.mark.parametrize('state', [_SUSPECT, _DEAD])
    def test_refutation_is_believed(self, state: MemberStatus) -> None:
        """Only the member itself can have raised its incarnation."""
        claim = _known(_ALIVE, 6)
        assert evaluate_claim(_known(state), claim) == ClaimDecision(
            store=claim
        )

    @pytest.mark.parametrize('state', [_SUSPECT, _LEAVING])
    def test_death_of_a_doubted_or_leaving_one_is_believed(
        self,
        state: MemberStatus,
    ) -> None:
        """It agrees with what is known."""
        claim = _known(_DEAD)
        assert evaluate_claim(_known(state), claim) == ClaimDecision(
            store=claim
        )

    @pytest.mark.parametrize('state', [_ALIVE, _SUSPECT])
    def test_leave_is_believed(self, state: MemberStatus) -> None:
        """A leave is the member's own word, whoever passes it on."""
        claim = _known(_LEAVING)
        assert evaluate_claim(_known(state), claim) == ClaimDecision(
            store=claim
        )

    def test_unknown_dead_one_is_not_taken_in(self) -> None:
        """Tombstones of strangers do not fill the table."""
        assert evaluate_claim(None, _known(_DEAD)) == ClaimDecision()
