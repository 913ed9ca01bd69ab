"""HTTP interface of the key-value stand-in process."""

import pytest
from bench_builders_platform import (
    KeyValueClient,
    build_compare_and_swap,
    encode_base64,
)

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Rig, wait_until

pytestmark = pytest.mark.process
_TIMEOUT_S = 10


class TestKeys:
    """Reads, writes and transactions."""

    def test_put_counts_revisions(self, key_value: KeyValueClient) -> None:
        """Each write increments the revision and the version of the key."""
        key_value.put('/a', 'one')
        key_value.put('/a', 'two')
        reply = key_value.call('/v3/kv/range', {'key': encode_base64('/a')})
        entry = reply.body['kvs'][0]
        assert entry['create_revision'] == '2'
        assert entry['mod_revision'] == '3'
        assert entry['version'] == '2'
        assert reply.body['header']['revision'] == '3'

    def test_range_is_half_open_and_sorted(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A range includes its start, excludes its end and is sorted by key."""
        for key in ('/c', '/a', '/b'):
            key_value.put(key, key)
        assert key_value.read_values('/a', '/c') == ['/a', '/b']

    def test_keys_only_leaves_out_values(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A read with `keys_only` returns the revisions without the values."""
        key_value.put('/a', 'long')
        body = {'key': encode_base64('/a'), 'keys_only': True}
        entry = key_value.call('/v3/kv/range', body).body['kvs'][0]
        assert 'value' not in entry
        assert entry['mod_revision'] == '2'

    def test_absent_key_has_no_fields(self, key_value: KeyValueClient) -> None:
        """Fields with a zero value are omitted, as in protobuf JSON."""
        reply = key_value.call('/v3/kv/range', {'key': encode_base64('/none')})
        assert set(reply.body) == {'header'}

    def test_one_of_two_swaps_wins(self, key_value: KeyValueClient) -> None:
        """The second swap on a revision fails and returns the stored value."""
        key_value.put('/a', 'base')
        first = key_value.call(
            '/v3/kv/txn', build_compare_and_swap('/a', 2, 'first')
        )
        second = key_value.call(
            '/v3/kv/txn', build_compare_and_swap('/a', 2, 'second')
        )
        assert first.body['succeeded'] is True
        assert 'succeeded' not in second.body
        found = second.body['responses'][0]['response_range']
        assert found['kvs'][0]['value'] == encode_base64('first')

    @pytest.mark.parametrize(
        ('target', 'operand', 'holds'),
        [
            ('VERSION', {'version': '0'}, True),
            ('CREATE', {'create_revision': '0'}, True),
            ('MOD', {'mod_revision': '1'}, False),
            ('VALUE', {'value': encode_base64('x')}, False),
        ],
    )
    def test_compares_an_absent_key(
        self,
        key_value: KeyValueClient,
        target: str,
        operand: dict[str, str],
        holds: bool,
    ) -> None:
        """An absent key compares as revision 0 and without a value."""
        compare = {'target': target, 'key': encode_base64('/none'), **operand}
        reply = key_value.call('/v3/kv/txn', {'compare': [compare]})
        assert reply.body.get('succeeded', False) is holds

    @pytest.mark.parametrize(
        'body',
        [{}, {'key': '***'}, {'key': encode_base64('/a'), 'limit': 'many'}],
    )
    def test_refuses_invalid_requests(
        self,
        key_value: KeyValueClient,
        body: dict[str, str],
    ) -> None:
        """An invalid request body is refused with a message."""
        reply = key_value.call('/v3/kv/range', body)
        assert reply.status == 400
        assert reply.body['message']

    def test_refuses_oversized_requests(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A request above the size limit is refused without effect."""
        assert key_value.put('/a', 'x' * 1_500_000).status == 400
        assert not key_value.read_values('/a')


class TestLeases:
    """Grants and expiry of leases, and the keys attached to leases."""

    def test_expired_lease_deletes_its_keys(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """Expiry of a lease deletes its keys and notifies watches."""
        lease = key_value.call('/v3/lease/grant', {'TTL': '1'}).body['ID']
        key_value.put('/held', 'mine', lease)
        watch = key_value.open_watch('/held')
        watch.read_message()
        assert watch.read_message()['events'][0]['type'] == 'DELETE'
        alive = key_value.call('/v3/lease/keepalive', {'ID': lease})
        assert 'TTL' not in alive.body['result']

    def test_write_under_an_unknown_lease_is_refused(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A write with a lease that is not active is refused."""
        assert key_value.put('/held', 'late', '99').status == 404
        assert key_value.call('/v3/lease/revoke', {'ID': '99'}).status == 404

    def test_lapse_revokes_leases_before_expiry(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """The fault revokes leases whose time to live has not expired."""
        lease = key_value.call('/v3/lease/grant', {'TTL': '600'}).body['ID']
        key_value.put('/held', 'mine', lease)
        response = key_value.call('/control/lapse', {})
        assert response.body == {'lapsed': 1}
        assert not key_value.read_values('/held')


class TestWatches:
    """Streams of events."""

    def test_replays_from_a_revision(self, key_value: KeyValueClient) -> None:
        """A watch from an old revision sends past events, then new events."""
        key_value.put('/a', 'one')
        key_value.put('/a', 'two')
        watch = key_value.open_watch('/a', start_revision=3)
        assert watch.read_message()['created'] is True
        missed = watch.read_message()['events'][0]['kv']
        assert missed['value'] == encode_base64('two')
        key_value.put('/a', 'three')
        assert watch.read_message()['events'][0]['kv']['mod_revision'] == '4'

    def test_open_watches_are_counted(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A watch is counted until its connection is closed."""
        watch = key_value.open_watch('/a')
        watch.read_message()
        assert key_value.fetch_call_log()['watching'] == 1
        watch.close()
        wait_until(
            lambda: key_value.fetch_call_log()['watching'] == 0,
            _TIMEOUT_S,
            'the watch to be removed',
        )


class TestFaults:
    """Effects of each fault on a client."""

    def test_lost_reply_took_effect(self, key_value: KeyValueClient) -> None:
        """A write without a response is applied, and the next write succeeds."""
        key_value.set_faults(lose_replies=1)
        assert key_value.put('/a', 'lost').status == 0
        assert key_value.read_values('/a') == ['lost']
        assert key_value.put('/a', 'kept').is_success
        outcomes = [
            each['outcome'] for each in key_value.fetch_call_log()['calls']
        ]
        assert outcomes == ['reply_lost', 'done', 'done']

    def test_down_cuts_calls_and_watches(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """The `down` fault blocks writes and ends open watches."""
        watch = key_value.open_watch('/a')
        watch.read_message()
        key_value.set_faults(down=True)
        assert key_value.put('/a', 'never').status == 0
        wait_until(
            lambda: key_value.fetch_call_log()['watching'] == 0,
            _TIMEOUT_S,
            'the watch to end',
        )
        key_value.set_faults(down=False)
        assert not key_value.read_values('/a')

    def test_slow_response_times_out(self, key_value: KeyValueClient) -> None:
        """A client whose timeout is below the delay gets no response."""
        key_value.set_faults(slow_ms=2000)
        reply = http.post(
            key_value.address,
            '/v3/kv/range',
            {'key': encode_base64('/a')},
            timeout_ms=200,
        )
        assert reply.fault == 'ReadTimeoutError'

    def test_stalled_watch_catches_up(self, key_value: KeyValueClient) -> None:
        """A stalled watch stays open and later sends all pending events."""
        watch = key_value.open_watch('/a')
        watch.read_message()
        key_value.set_faults(stall_watches=True)
        key_value.put('/a', 'one')
        key_value.put('/a', 'two')
        key_value.set_faults(stall_watches=False)
        revisions = [
            watch.read_message()['events'][0]['kv']['mod_revision']
            for _ in range(2)
        ]
        assert revisions == ['2', '3']

    def test_refuse_fault_blocks_writes(
        self, key_value: KeyValueClient
    ) -> None:
        """A refused call has no effect and is logged as refused."""
        key_value.set_faults(refuse=True)
        assert key_value.put('/a', 'never').status == 429
        key_value.set_faults(refuse=False)
        assert not key_value.read_values('/a')
        assert key_value.fetch_call_log()['calls'][0]['outcome'] == 'refused'

    def test_rate_limit_of_writes(self, rig: Rig) -> None:
        """The write rate limit refuses writes and admits reads."""
        process = rig.start_module(
            'limited',
            'fennelfork_bench.kv',
            ('--writes-per-s=0.001',),
        )
        limited = KeyValueClient(process=process.await_ready())
        assert limited.put('/a', 'one').status == 429
        assert limited.call(
            '/v3/kv/range', {'key': encode_base64('/a')}
        ).is_success

    def test_restore_brings_an_older_value_back(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A restore discards later writes and closes all watches."""
        key_value.put('/a', 'old')
        key_value.call('/control/save', {})
        watch = key_value.open_watch('/a')
        watch.read_message()
        key_value.put('/a', 'new')
        key_value.call('/control/restore', {})
        assert key_value.read_values('/a') == ['old']
        assert key_value.fetch_call_log()['revision'] == 2
        wait_until(
            lambda: key_value.fetch_call_log()['watching'] == 0,
            _TIMEOUT_S,
            'the watch to end',
        )

    def test_wiped_store_is_empty(self, key_value: KeyValueClient) -> None:
        """Wiping the store resets the revision to 1."""
        key_value.put('/a', 'old')
        assert key_value.call('/control/wipe', {}).body == {'revision': 1}
        assert not key_value.read_values('/a')

    def test_watch_of_a_compacted_revision_is_cancelled(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A watch that starts at a compacted revision is cancelled."""
        key_value.put('/a', 'old')
        key_value.call('/control/save', {})
        key_value.call('/control/restore', {})
        message = key_value.open_watch('/a', start_revision=1).read_message()
        assert message['canceled'] is True
        assert message['compact_revision'] == '2'

    def test_unknown_fault_is_refused(self, key_value: KeyValueClient) -> None:
        """An unknown fault name is refused."""
        assert key_value.call('/control/faults', {'dwon': True}).status == 400
