"""What the membership service does with the blackboard."""

import random

import attrs
import eventlet
from daemon_builders_fleet import a_member
from returns.result import Failure as Bad

from fennelfork import ManualTime, blackboard, manual_clock
from fennelfork.membership import MembershipPolicy, MemberStatus, membership
from fennelfork_daemon.membership._metrics import membership_metrics
from fennelfork_daemon.membership._probe_client import ProbeFailure
from fennelfork_daemon.membership._service import MembershipService
from fennelfork_daemon.metrics._metrics import daemon_metrics


@attrs.define(kw_only=True)
class _RefusingClient:
    """Fails each probe and remembers whom it was for."""

    called: list[str] = attrs.field(factory=list)

    def call(self, address: str, request: object, timeout_ms: float):
        """Refuse."""
        self.called.append(address)
        return Bad(ProbeFailure.REFUSED)


def _service(client: _RefusingClient) -> MembershipService:
    me = a_member()
    fleet = membership(me, MembershipPolicy(), random.Random(0))
    return MembershipService(
        fleet=fleet,
        board=blackboard(me),
        clock=manual_clock(ManualTime()),
        client=client,
        metrics=membership_metrics(daemon_metrics(4)),
    )


class TestBlackboard:
    """Facts in and out."""

    def test_members_and_their_configuration_are_published(self) -> None:
        """A new member replaces the whole, a new version does not."""
        service = _service(_RefusingClient())
        other = a_member('vm-2', peer='127.0.0.1:9')
        service.fleet.view.apply_claims([other], 0)
        service.step()
        members = service._board.members
        assert members['vm-2'] == other
        newer = attrs.evolve(other, config_version=8)
        service.fleet.view.apply_claims([newer], 0)
        service.step()
        assert service._board.members is members
        assert members['vm-2'].config_version == 8

    def test_own_configuration_is_announced(self) -> None:
        """What is in force here is what this daemon says of itself."""
        service = _service(_RefusingClient())
        board = service._board
        board.document = attrs.evolve(board.document, version=9)
        board.config_hash = 'new'
        service.step()
        me = service.fleet.view.local
        assert (me.config_version, me.config_hash) == (9, 'new')
        assert board.local == me

    def test_doubted_members_are_verified_at_once(self) -> None:
        """A failed call of the data path leads to a probe of its target."""
        client = _RefusingClient()
        service = _service(client)
        service.step()
        other = a_member('vm-2', peer='127.0.0.1:9')
        service.fleet.view.apply_claims([other], 0)
        service.step()
        eventlet.sleep(0)
        assert not client.called
        service._board.doubted.add('vm-2')
        service.step()
        eventlet.sleep(0)
        assert client.called == ['127.0.0.1:9']
        assert not service._board.doubted
        suspected = service._board.members['vm-2']
        assert suspected.state is MemberStatus.SUSPECT
