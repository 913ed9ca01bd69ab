"""The lagging VM list as a seed of membership."""

import json
import random

import pytest
from daemon_builders_fleet import a_member, answering, settings_of

from fennelfork import blackboard
from fennelfork.membership import (
    MembershipPolicy,
    MemberStatus,
    VmListSchedule,
    membership,
)
from fennelfork_daemon.membership._vm_list import VmListReader, vm_list_reader

_VM = {
    'name': 'vm-2',
    'region': 'region-1',
    'data_centre': 'dc-1',
    'caller': '127.0.0.1:5',
    'operator': '127.0.0.1:6',
    'peer': '127.0.0.1:7',
    'state': 'live',
}


def _reader(address: str) -> VmListReader:
    me = a_member()
    return vm_list_reader(
        blackboard(me),
        settings_of(address),
        membership(me, MembershipPolicy(), random.Random(0)),
        VmListSchedule(rng=random.Random(0)),
    )


def _seeds(reader: VmListReader) -> set[str]:
    return set(reader._fleet.schedule.seeds)


class TestVmListReader:
    """What a read of the list leads to."""

    def test_listed_vms_become_seeds_and_no_members(self) -> None:
        """The list is a hint: who is on it has to answer first."""
        body = json.dumps({'vms': [_VM]}).encode()
        with answering(200, body) as address:
            reader = _reader(address)
            reader.read()
        assert _seeds(reader) == {'vm-2'}
        table = reader._fleet.view.table
        assert [member.name for member in table] == ['vm-1']
        probed = {send.target.name for send in reader._fleet.step(0)}
        assert probed == {'vm-2'}

    @pytest.mark.parametrize(
        ('status', 'body'),
        [
            (503, b'{"vms": []}'),
            (200, b'no json'),
            (200, b'{}'),
            (200, b'{"vms": [{"name": "vm-3"}]}'),
            (200, b'{"vms": 3}'),
        ],
    )
    def test_unusable_answers_change_nothing(
        self,
        status: int,
        body: bytes,
    ) -> None:
        """The seeds of the last good answer stay, and reads back off."""
        with answering(status, body) as address:
            reader = _reader(address)
            reader._fleet.set_seeds([a_member('vm-9')])
            reader.read()
        assert _seeds(reader) == {'vm-9'}
        assert reader._schedule.failures == 1

    def test_no_answer_changes_nothing(self) -> None:
        """A list that cannot be reached counts as a failed read."""
        reader = _reader('127.0.0.1:1')
        reader.read()
        assert reader._schedule.failures == 1
        me = reader._fleet.view.local
        assert me.state is MemberStatus.ALIVE
