"""The key-value stand-in as a process, over the wire."""

import pytest
from bench_builders_platform import KeyValueClient, swap_body, text

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Rig, wait_until

pytestmark = pytest.mark.process
_CAP_S = 10


class TestKeys:
    """Reads, writes and transactions."""

    def test_put_counts_revisions(self, key_value: KeyValueClient) -> None:
        """Each write raises the revision and the version of its key."""
        key_value.put('/a', 'one')
        key_value.put('/a', 'two')
        reply = key_value.call('/v3/kv/range', {'key': text('/a')})
        entry = reply.body['kvs'][0]
        assert entry['create_revision'] == '2'
        assert entry['mod_revision'] == '3'
        assert entry['version'] == '2'
        assert reply.body['header']['revision'] == '3'

    def test_range_is_half_open_and_sorted(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A range holds its first key, not its end, in order of keys."""
        for key in ('/c', '/a', '/b'):
            key_value.put(key, key)
        assert key_value.values('/a', '/c') == ['/a', '/b']

    def test_keys_only_leaves_out_values(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A read of keys gives the revision and no value."""
        key_value.put('/a', 'long')
        body = {'key': text('/a'), 'keys_only': True}
        entry = key_value.call('/v3/kv/range', body).body['kvs'][0]
        assert 'value' not in entry
        assert entry['mod_revision'] == '2'

    def test_absent_key_has_no_members(self, key_value: KeyValueClient) -> None:
        """Zero members are left out, as protobuf's JSON does."""
        reply = key_value.call('/v3/kv/range', {'key': text('/none')})
        assert set(reply.body) == {'header'}

    def test_one_of_two_swaps_wins(self, key_value: KeyValueClient) -> None:
        """The second swap on one revision loses and reads the winner."""
        key_value.put('/a', 'base')
        first = key_value.call('/v3/kv/txn', swap_body('/a', 2, 'first'))
        second = key_value.call('/v3/kv/txn', swap_body('/a', 2, 'second'))
        assert first.body['succeeded'] is True
        assert 'succeeded' not in second.body
        found = second.body['responses'][0]['response_range']
        assert found['kvs'][0]['value'] == text('first')

    @pytest.mark.parametrize(
        ('target', 'operand', 'holds'),
        [
            ('VERSION', {'version': '0'}, True),
            ('CREATE', {'create_revision': '0'}, True),
            ('MOD', {'mod_revision': '1'}, False),
            ('VALUE', {'value': text('x')}, False),
        ],
    )
    def test_compares_an_absent_key(
        self,
        key_value: KeyValueClient,
        target: str,
        operand: dict[str, str],
        holds: bool,
    ) -> None:
        """An absent key has revisions of 0 and no value at all."""
        compare = {'target': target, 'key': text('/none'), **operand}
        reply = key_value.call('/v3/kv/txn', {'compare': [compare]})
        assert reply.body.get('succeeded', False) is holds

    @pytest.mark.parametrize(
        'body',
        [{}, {'key': '***'}, {'key': text('/a'), 'limit': 'many'}],
    )
    def test_refuses_what_it_cannot_read(
        self,
        key_value: KeyValueClient,
        body: dict[str, str],
    ) -> None:
        """A body that is not a request is refused with the reason."""
        reply = key_value.call('/v3/kv/range', body)
        assert reply.status == 400
        assert reply.body['message']

    def test_refuses_a_value_above_its_limit(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A request above a megabyte and a half is refused."""
        assert key_value.put('/a', 'x' * 1_500_000).status == 400
        assert not key_value.values('/a')


class TestLeases:
    """Grants, expiry and the keys under a lease."""

    def test_a_lapsed_lease_takes_its_keys(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A key goes when its lease lapses, and a watch sees it go."""
        lease = key_value.call('/v3/lease/grant', {'TTL': '1'}).body['ID']
        key_value.put('/held', 'mine', lease)
        watch = key_value.watch('/held')
        watch.next()
        assert watch.next()['events'][0]['type'] == 'DELETE'
        alive = key_value.call('/v3/lease/keepalive', {'ID': lease})
        assert 'TTL' not in alive.body['result']

    def test_write_under_an_unknown_lease_is_refused(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A holder whose lease has lapsed cannot write under it."""
        assert key_value.put('/held', 'late', '99').status == 404
        assert key_value.call('/v3/lease/revoke', {'ID': '99'}).status == 404

    def test_lapse_ends_a_lease_before_its_time(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """The fault ends leases that had long to live."""
        lease = key_value.call('/v3/lease/grant', {'TTL': '600'}).body['ID']
        key_value.put('/held', 'mine', lease)
        lapsed = key_value.call('/control/lapse', {})
        assert lapsed.body == {'lapsed': 1}
        assert not key_value.values('/held')


class TestWatches:
    """Streams of changes."""

    def test_replays_from_a_revision(self, key_value: KeyValueClient) -> None:
        """A watch from an old revision gets what it missed, then more."""
        key_value.put('/a', 'one')
        key_value.put('/a', 'two')
        watch = key_value.watch('/a', start_revision=3)
        assert watch.next()['created'] is True
        missed = watch.next()['events'][0]['kv']
        assert missed['value'] == text('two')
        key_value.put('/a', 'three')
        assert watch.next()['events'][0]['kv']['mod_revision'] == '4'

    def test_waiting_watches_are_counted(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A watch counts while its connection lives, and no longer."""
        watch = key_value.watch('/a')
        watch.next()
        assert key_value.log()['watching'] == 1
        watch.close()
        wait_until(
            lambda: key_value.log()['watching'] == 0,
            _CAP_S,
            'the watch to be forgotten',
        )


class TestFaults:
    """Each fault as a client meets it."""

    def test_lost_reply_took_effect(self, key_value: KeyValueClient) -> None:
        """The connection is cut, the write is there, the next one is fine."""
        key_value.switch(lose_replies=1)
        assert key_value.put('/a', 'lost').status == 0
        assert key_value.values('/a') == ['lost']
        assert key_value.put('/a', 'kept').fine
        outcomes = [each['outcome'] for each in key_value.log()['calls']]
        assert outcomes == ['reply_lost', 'done', 'done']

    def test_down_cuts_calls_and_watches(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """While down nothing has an effect and open watches end."""
        watch = key_value.watch('/a')
        watch.next()
        key_value.switch(down=True)
        assert key_value.put('/a', 'never').status == 0
        wait_until(
            lambda: key_value.log()['watching'] == 0,
            _CAP_S,
            'the watch to end',
        )
        key_value.switch(down=False)
        assert not key_value.values('/a')

    def test_slow_reply_is_late(self, key_value: KeyValueClient) -> None:
        """A client with less patience than the fault gets no answer."""
        key_value.switch(slow_ms=2000)
        reply = http.post(
            key_value.address,
            '/v3/kv/range',
            {'key': text('/a')},
            timeout_ms=200,
        )
        assert reply.fault == 'ReadTimeoutError'

    def test_stalled_watch_catches_up(self, key_value: KeyValueClient) -> None:
        """A stalled watch stays open, and gives all once it goes on."""
        watch = key_value.watch('/a')
        watch.next()
        key_value.switch(stall_watches=True)
        key_value.put('/a', 'one')
        key_value.put('/a', 'two')
        key_value.switch(stall_watches=False)
        revisions = [
            watch.next()['events'][0]['kv']['mod_revision'] for _ in range(2)
        ]
        assert revisions == ['2', '3']

    def test_refuses_by_rate(self, key_value: KeyValueClient) -> None:
        """A refused call has no effect and is logged as refused."""
        key_value.switch(refuse=True)
        assert key_value.put('/a', 'never').status == 429
        key_value.switch(refuse=False)
        assert not key_value.values('/a')
        assert key_value.log()['calls'][0]['outcome'] == 'refused'

    def test_rate_limit_of_writes(self, rig: Rig) -> None:
        """Writes above the limit are refused while reads are not."""
        process = rig.start_module(
            'limited',
            'fennelfork_bench.kv',
            ('--writes-per-s=0.001',),
        )
        limited = KeyValueClient(process=process.await_ready())
        assert limited.put('/a', 'one').status == 429
        assert limited.call('/v3/kv/range', {'key': text('/a')}).fine

    def test_restore_brings_an_older_value_back(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """What came after the backup is lost, and watches are cut."""
        key_value.put('/a', 'old')
        key_value.call('/control/save', {})
        watch = key_value.watch('/a')
        watch.next()
        key_value.put('/a', 'new')
        key_value.call('/control/restore', {})
        assert key_value.values('/a') == ['old']
        assert key_value.log()['revision'] == 2
        wait_until(
            lambda: key_value.log()['watching'] == 0,
            _CAP_S,
            'the watch to end',
        )

    def test_wiped_store_is_empty(self, key_value: KeyValueClient) -> None:
        """A service that comes back empty starts at revision 1 again."""
        key_value.put('/a', 'old')
        assert key_value.call('/control/wipe', {}).body == {'revision': 1}
        assert not key_value.values('/a')

    def test_watch_of_a_forgotten_revision_is_cancelled(
        self,
        key_value: KeyValueClient,
    ) -> None:
        """A start before the compacted revision is answered as such."""
        key_value.put('/a', 'old')
        key_value.call('/control/save', {})
        key_value.call('/control/restore', {})
        message = key_value.watch('/a', start_revision=1).next()
        assert message['canceled'] is True
        assert message['compact_revision'] == '2'

    def test_unknown_fault_is_refused(self, key_value: KeyValueClient) -> None:
        """A misspelt fault is not taken for none."""
        assert key_value.call('/control/faults', {'dwon': True}).status == 400
