"""Tests of the VM list as a source of membership seeds."""

import json
import random

import pytest
from daemon_builders_endings import cutting_server, truncations
from daemon_builders_fleet import build_member, build_settings, serve_response
from daemon_builders_prepared import prepared_server
from daemon_builders_response_forms import MALFORMED, with_content

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
    local_member = build_member()
    return vm_list_reader(
        blackboard(local_member),
        build_settings(address),
        membership(local_member, MembershipPolicy(), random.Random(0)),
        VmListSchedule(rng=random.Random(0)),
    )


def _seeds(reader: VmListReader) -> set[str]:
    return set(reader._controller.schedule.seeds)


class TestVmListReader:
    """Effects of a read of the VM list."""

    def test_listed_vms_become_seeds_but_not_members(self) -> None:
        """Guards against members that never answered a probe."""
        body = json.dumps({'vms': [_VM]}).encode()
        with serve_response(200, body) as address:
            reader = _reader(address)
            reader.read()
        assert _seeds(reader) == {'vm-2'}
        table = reader._controller.view.table
        assert [member.name for member in table] == ['vm-1']
        probed = {send.target.name for send in reader._controller.step(0)}
        assert probed == {'vm-2'}

    @pytest.mark.parametrize(
        ('status', 'body'),
        [
            (503, b'{"vms": []}'),
            (200, b'no json'),
            (200, b'[' * 100_000),
            (200, b'{}'),
            (200, b'{"vms": [{"name": "vm-3"}]}'),
            (200, b'{"vms": 3}'),
        ],
    )
    def test_invalid_responses_keep_seeds(
        self,
        status: int,
        body: bytes,
    ) -> None:
        """The previous seeds stay, and the read counts as failed."""
        with serve_response(status, body) as address:
            reader = _reader(address)
            reader._controller.set_seeds([build_member('vm-9')])
            reader.read()
        assert _seeds(reader) == {'vm-9'}
        assert reader._schedule.failures == 1

    def test_truncated_list_keeps_seeds(self) -> None:
        """Guards against a list that is believed before it is complete."""
        body = json.dumps({'vms': [_VM]}).encode()
        head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        whole = b'%s%x\r\n%s\r\n00\r\n\r\n' % (head, len(body), body)
        with cutting_server() as server:
            reader = _reader(str(server.address))
            reader._controller.set_seeds([build_member('vm-9')])
            for truncated in truncations(whole):
                server.response = truncated
                reader.read()
                assert _seeds(reader) == {'vm-9'}, server.response

    @pytest.mark.parametrize('form', sorted(MALFORMED))
    def test_malformed_list_keeps_seeds(self, form: str) -> None:
        """Guards against a VM list from a malformed response."""
        body = json.dumps({'vms': [_VM]}).encode()
        with prepared_server(
            with_content(MALFORMED[form], b'200', body)
        ) as server:
            reader = _reader(str(server.address))
            reader._controller.set_seeds([build_member('vm-9')])
            reader.read()
        assert _seeds(reader) == {'vm-9'}
        assert reader._schedule.failures == 1

    def test_unreachable_list_keeps_member_alive(self) -> None:
        """An unreachable VM list counts as a failed read."""
        reader = _reader('127.0.0.1:1')
        reader.read()
        assert reader._schedule.failures == 1
        local_member = reader._controller.view.local
        assert local_member.state is MemberStatus.ALIVE
