"""Permits in advance of a workspace that is taken out and comes back.

Guards against permits that are counted again after the workspace has returned.
"""

from fennelfork import ManualTime, manual_clock
from fennelfork.workspaces import PermitGrant, PermitHolder, PermitNeed

_OWNER = 'vm-1'
_GRANT = PermitGrant(workspace='hot', held=3)


def _holder() -> PermitHolder:
    """Return a holder of a workspace with 20 requests."""
    holder = PermitHolder(clock=manual_clock(ManualTime(at_ms=1000)))
    for _ in range(20):
        holder.record_request('hot')
    return holder


def _report(holder: PermitHolder) -> tuple[PermitNeed, ...]:
    return holder.report(_OWNER, ('hot',))


def _record(
    holder: PermitHolder, needs: tuple[PermitNeed, ...], grant: PermitGrant
) -> None:
    holder.record_reply(_OWNER, 1000, needs, (grant,))


def _use_all(holder: PermitHolder) -> int:
    used = 0
    while holder.try_use('hot') is not None:
        used += 1
    return used


class TestReturningWorkspace:
    """A workspace that is out of the configuration for a moment."""

    def test_permit_of_before_is_not_given_back(self) -> None:
        """A request of before the change that has not run adds no permit."""
        holder = _holder()
        _record(holder, _report(holder), _GRANT)
        permit = holder.try_use('hot')
        assert permit is not None
        holder.forget(['hot'])
        holder.record_request('hot')
        _record(holder, _report(holder), PermitGrant(workspace='hot', held=1))
        holder.give_back(permit)
        assert _use_all(holder) == 1

    def test_reply_of_before_is_not_recorded(self) -> None:
        """Permits that were used while their report was under way stay used."""
        holder = _holder()
        _record(holder, _report(holder), _GRANT)
        late = _report(holder)
        for _ in range(3):
            assert holder.try_use('hot') is not None
        holder.forget(['hot'])
        holder.record_request('hot')
        _record(holder, late, _GRANT)
        assert _use_all(holder) == 0
