"""At-most-once execution with daemons that are killed, paused or drained."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from bench_builders_once import (
    Caller,
    assert_at_most_once,
    count_events,
    once_spec,
    set_faults,
    start_once_fleet,
)

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import rig, wait_until

_TIMEOUT_S = 30
_TTL_MS = 1500


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    """Start two daemons that the tests of this module share."""
    with rig() as own:
        yield start_once_fleet(own, once_spec())


@pytest.fixture(autouse=True)
def _no_faults(fleet: Fleet) -> Iterator[None]:
    yield
    for server in fleet.backends:
        set_faults(fleet, server)


@pytest.mark.process
class TestAnswers:
    """Execute requests while all daemons are running."""

    def test_retry_returns_the_first_outcome(self, fleet: Fleet) -> None:
        """A retry at either daemon returns the outcome of the first request."""
        caller = Caller()
        here, there = fleet.callers
        request = caller.request(caller.ticket(here))
        replies = [caller.send(each, request) for each in (here, here, there)]
        assert [reply.status for reply in replies] == [200, 200, 200], replies
        assert len({reply.body['outcome'] for reply in replies}) == 1
        assert assert_at_most_once(fleet, caller)[request['request_id']] == 1

    def test_concurrent_requests_run_once(self, fleet: Fleet) -> None:
        """Concurrent requests with one id at both daemons run once."""
        caller = Caller()
        request = caller.request(caller.ticket(fleet.callers[0]))
        with ThreadPoolExecutor(8) as pool:
            sent = [
                pool.submit(caller.send, address, request)
                for address in fleet.callers * 4
            ]
            replies = [each.result() for each in sent]
        assert {reply.status for reply in replies} == {200}, replies
        assert len({reply.body['outcome'] for reply in replies}) == 1
        assert assert_at_most_once(fleet, caller)[request['request_id']] == 1

    def test_lost_response_is_not_run_again(self, fleet: Fleet) -> None:
        """After a lost response, retries with any ticket may have run."""
        caller = Caller()
        here, there = fleet.callers
        request = caller.request(caller.ticket(here))
        set_faults(fleet, 'reg-0', rules=[{'kind': 'lose_reply', 'limit': 1}])
        first = caller.send(here, request)
        renewed = {**request, 'ticket': caller.ticket(there)}
        retries = [
            caller.send(here, request),
            caller.send(there, request),
            caller.send(there, renewed),
            caller.send(here, renewed),
        ]
        verdicts = {reply.body['verdict'] for reply in (first, *retries)}
        assert verdicts == {'may_have_run'}
        assert assert_at_most_once(fleet, caller)[request['request_id']] == 1

    def test_late_outcome_is_recorded(self, fleet: Fleet) -> None:
        """A retry after the deadline returns the late outcome."""
        caller = Caller()
        here, there = fleet.callers
        request = caller.request(caller.ticket(here))
        late = {'kind': 'late', 'limit': 1, 'delay_ms': 1000}
        set_faults(fleet, 'reg-0', rules=[late])
        first = caller.send(here, {**request, 'deadline_ms': 300})
        assert first.body['code'] == 'deadline', first
        assert first.body['verdict'] == 'may_have_run'
        wait_until(
            lambda: caller.send(there, request).status == 200,
            _TIMEOUT_S,
            'the late outcome',
        )
        assert assert_at_most_once(fleet, caller)[request['request_id']] == 1

    def test_refusal_is_final(self, fleet: Fleet) -> None:
        """A request refused as not run is not run by a retry either."""
        caller = Caller()
        here, _ = fleet.callers
        request = caller.request(caller.ticket(here), key=25)
        request['deadline_ms'] = 5
        refused = caller.send(here, request)
        assert refused.body['verdict'] == 'not_run', refused
        retry = caller.send(here, {**request, 'deadline_ms': 5000})
        assert retry.body['verdict'] == 'not_run', retry
        assert request['request_id'] not in assert_at_most_once(fleet, caller)

    def test_draining_server_gets_one_attempt(self, fleet: Fleet) -> None:
        """A draining server with a wrong health state gets one attempt only."""
        caller = Caller()
        here, _ = fleet.callers
        address = fleet.backends['reg-20'].ready['control']
        http.post(address, '/control/drain', {'draining': True})
        set_faults(fleet, 'reg-20', health={'state': 'serving'})
        ticket = caller.ticket(here)
        refused = [
            caller.send(here, caller.request(ticket, 25)) for _ in range(4)
        ]
        http.post(address, '/control/drain', {'draining': False})
        verdicts = {reply.body.get('verdict') for reply in refused}
        assert verdicts == {'not_run'}, refused
        codes = {reply.body['code'] for reply in refused}
        assert codes == {'draining'}, refused
        sent = count_events(fleet, 'received')
        request_ids = {reply.body['request_id'] for reply in refused}
        assert sum(sent[each] for each in request_ids) == 1
        assert_at_most_once(fleet, caller)

    def test_platform_down(self, fleet: Fleet) -> None:
        """Tickets are issued and used while the platform is unavailable."""
        caller = Caller()
        fleet.platform.key_value.pause()
        fleet.platform.vm_list.pause()
        request = caller.request(caller.ticket(fleet.callers[0]))
        replies = [caller.send(each, request) for each in fleet.callers]
        fleet.platform.key_value.resume()
        fleet.platform.vm_list.resume()
        assert {reply.status for reply in replies} == {200}, replies
        assert assert_at_most_once(fleet, caller)[request['request_id']] == 1

    def test_server_refuses_late_requests(self, fleet: Fleet) -> None:
        """An execute request after its `not_after_ms` is not started."""
        address = fleet.backends['reg-0'].ready['address']
        now_ms = http.get(address, '/v1/health').body['now_ms']
        late = {
            'request_id': 'late@s',
            'sub_query': 'x1',
            'key': 7,
            'action': 'issue',
            'deadline_ms': 5000,
            'not_after_ms': now_ms,
        }
        reply = http.post(address, '/v1/execute', late)
        assert reply.body['verdict'] == 'not_run', reply
        assert 'late@s' not in assert_at_most_once(fleet)


@pytest.mark.process
class TestDaemonFailures:
    """Daemons that are killed, paused, drained and restarted."""

    def test_killed_during_an_attempt(self) -> None:
        """A request that a killed daemon sent is neither rerun nor denied."""
        caller = Caller()
        with rig() as own, ThreadPoolExecutor(1) as pool:
            fleet = start_once_fleet(own, once_spec())
            here, there = fleet.callers
            request = caller.request(caller.ticket(here))
            set_faults(
                fleet, 'reg-0', rules=[{'kind': 'late', 'delay_ms': 4000}]
            )
            first = pool.submit(caller.send, here, request)
            wait_until(
                lambda: count_events(fleet, 'started'), _TIMEOUT_S, 'the run'
            )
            fleet.daemons['vm-1'].kill()
            assert first.result().status == 0
            cut_off = caller.send(there, request)
            fleet.start_daemons([fleet.daemon_spec('vm-1')])
            restarted = fleet.daemons['vm-1'].ready['caller']
            retries = [cut_off]
            for address in (restarted, there):
                fresh = {**request, 'ticket': caller.ticket(address)}
                retries.append(caller.send(address, request))
                retries.append(caller.send(address, fresh))
            verdicts = [reply.body.get('verdict') for reply in retries]
            assert set(verdicts) == {'may_have_run'}, retries
            assert (
                assert_at_most_once(fleet, caller)[request['request_id']] == 1
            )

    def test_paused_until_the_ticket_expires(self) -> None:
        """A daemon that resumes with an expired ticket does not send."""
        caller = Caller()
        with rig() as own, ThreadPoolExecutor(1) as pool:
            spec = once_spec(
                ttl_ms=_TTL_MS,
                connect_ms=20_000,
            )
            fleet = start_once_fleet(own, spec)
            here, there = fleet.callers
            request = caller.request(caller.ticket(here))
            request['deadline_ms'] = 20_000
            # The health probe waits for the frozen server before the send.
            set_faults(fleet, 'reg-0', freeze_ms=2 * _TTL_MS)
            first = pool.submit(caller.send, here, request)
            time.sleep(_TTL_MS / 5000)
            fleet.daemons['vm-1'].pause()
            time.sleep(_TTL_MS / 1000)
            fleet.daemons['vm-1'].resume()
            replies = [first.result(), caller.send(there, request)]
            verdicts = [reply.body.get('verdict') for reply in replies]
            assert verdicts == ['not_run', 'not_run'], replies
            assert request['request_id'] not in assert_at_most_once(
                fleet, caller
            )

    def test_paused_after_the_send(self) -> None:
        """A daemon that resumes after ticket expiry returns the outcome."""
        caller = Caller()
        with rig() as own, ThreadPoolExecutor(1) as pool:
            fleet = start_once_fleet(own, once_spec(ttl_ms=_TTL_MS))
            here, there = fleet.callers
            request = caller.request(caller.ticket(here))
            set_faults(
                fleet, 'reg-0', rules=[{'kind': 'late', 'delay_ms': 500}]
            )
            first = pool.submit(caller.send, here, request)
            wait_until(
                lambda: count_events(fleet, 'started'), _TIMEOUT_S, 'the run'
            )
            fleet.daemons['vm-1'].pause()
            time.sleep(_TTL_MS / 1000)
            fleet.daemons['vm-1'].resume()
            first.result()
            wait_until(
                lambda: caller.send(there, request).status == 200,
                _TIMEOUT_S,
                'the outcome',
            )
            assert (
                assert_at_most_once(fleet, caller)[request['request_id']] == 1
            )

    def test_draining_daemon(self) -> None:
        """A draining daemon accepts its tickets, but issues no new ones."""
        caller = Caller()
        with rig() as own:
            fleet = start_once_fleet(own, once_spec())
            here, there = fleet.callers
            request = caller.request(caller.ticket(here))
            drained = http.post(fleet.operators[0], '/v1/drain', {})
            assert drained.is_success, drained
            wait_until(
                lambda: http.get(here, '/v1/entries').body['ticket'] is None,
                _TIMEOUT_S,
                'no more tickets',
            )
            replies = [caller.send(each, request) for each in (there, here)]
            assert [reply.status for reply in replies] == [200, 200], replies
            assert (
                assert_at_most_once(fleet, caller)[request['request_id']] == 1
            )

    def test_stopped_during_an_attempt(self) -> None:
        """A graceful stop waits for the outcome of a request in flight."""
        caller = Caller()
        with rig() as own, ThreadPoolExecutor(1) as pool:
            fleet = start_once_fleet(own, once_spec(ttl_ms=_TTL_MS))
            here, _ = fleet.callers
            request = caller.request(caller.ticket(here))
            request['deadline_ms'] = 10_000
            late = {'kind': 'late', 'delay_ms': 2 * _TTL_MS}
            set_faults(fleet, 'reg-0', rules=[late])
            first = pool.submit(caller.send, here, request)
            wait_until(
                lambda: count_events(fleet, 'started'), _TIMEOUT_S, 'the run'
            )
            fleet.daemons['vm-1'].terminate()
            assert first.result().status == 200, first.result()
            assert fleet.daemons['vm-1'].wait(_TIMEOUT_S) == 0
            assert (
                assert_at_most_once(fleet, caller)[request['request_id']] == 1
            )
