"""Tests of the membership service and the blackboard."""

import random

import attrs
import eventlet
from daemon_builders_fleet import build_member
from returns.result import Failure as Bad

from fennelfork import ManualTime, blackboard, manual_clock
from fennelfork.membership import MembershipPolicy, MemberStatus, membership
from fennelfork_daemon.membership._metrics import membership_metrics
from fennelfork_daemon.membership._probe_client import ProbeFailure
from fennelfork_daemon.membership._service import MembershipService
from fennelfork_daemon.metrics._metrics import daemon_metrics


@attrs.define(kw_only=True)
class _RefusingClient:
    """Refuses each probe and records the address of the target."""

    probed_addresses: list[str] = attrs.field(factory=list)

    def call(self, address: str, request: object, timeout_ms: float):
        """Record the address and refuse the probe."""
        self.probed_addresses.append(address)
        return Bad(ProbeFailure.REFUSED)


def _service(client: _RefusingClient) -> MembershipService:
    local_member = build_member()
    controller = membership(local_member, MembershipPolicy(), random.Random(0))
    return MembershipService(
        controller=controller,
        blackboard=blackboard(local_member),
        clock=manual_clock(ManualTime()),
        client=client,
        metrics=membership_metrics(daemon_metrics(4)),
    )


class TestBlackboard:
    """Facts that the service reads from and writes to the blackboard."""

    def test_members_and_their_configuration_are_published(self) -> None:
        """A new member replaces the mapping; a new version updates the mapping."""
        service = _service(_RefusingClient())
        other = build_member('vm-2', peer='127.0.0.1:9')
        service.controller.view.apply_claims([other], 0)
        service.step()
        members = service._blackboard.members
        assert members['vm-2'] == other
        newer = attrs.evolve(other, config_version=8)
        service.controller.view.apply_claims([newer], 0)
        service.step()
        assert service._blackboard.members is members
        assert members['vm-2'].config_version == 8

    def test_own_configuration_is_announced(self) -> None:
        """The local member has the version and hash of the active document."""
        service = _service(_RefusingClient())
        blackboard = service._blackboard
        blackboard.document = attrs.evolve(blackboard.document, version=9)
        blackboard.config_hash = 'new'
        service.step()
        local_member = service.controller.view.local
        assert (local_member.config_version, local_member.config_hash) == (
            9,
            'new',
        )
        assert blackboard.local == local_member

    def test_unreachable_members_are_probed_at_once(self) -> None:
        """A member that a request could not reach is probed."""
        client = _RefusingClient()
        service = _service(client)
        service.step()
        other = build_member('vm-2', peer='127.0.0.1:9')
        service.controller.view.apply_claims([other], 0)
        service.step()
        eventlet.sleep(0)
        assert not client.probed_addresses
        service._blackboard.unreachable_peers.add('vm-2')
        service.step()
        eventlet.sleep(0)
        assert client.probed_addresses == ['127.0.0.1:9']
        assert not service._blackboard.unreachable_peers
        suspected = service._blackboard.members['vm-2']
        assert suspected.state is MemberStatus.SUSPECT
