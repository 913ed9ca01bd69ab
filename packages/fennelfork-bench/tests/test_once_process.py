"""At most once, with real daemons that are killed, paused and cut off."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from bench_builders_once import (
    Caller,
    assert_once,
    faults,
    once_spec,
    start_once_fleet,
)

from fennelfork_bench._rig_fleet import Fleet
from fennelfork_bench._rig_process import rig, wait_until

_CAP_S = 30


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    """Two daemons that no test of this module ends."""
    with rig() as own:
        yield start_once_fleet(own, once_spec())


@pytest.fixture(autouse=True)
def _no_faults(fleet: Fleet) -> Iterator[None]:
    yield
    faults(fleet, 'reg-0')


@pytest.mark.process
class TestAnswers:
    """Callers of a fleet whose daemons live."""

    def test_runs_and_repeats_the_outcome(self, fleet: Fleet) -> None:
        """A repeat, here or at the other daemon, gets the first outcome."""
        caller = Caller()
        here, there = fleet.callers
        request = caller.request(caller.ticket(here))
        replies = [caller.send(each, request) for each in (here, here, there)]
        assert [reply.status for reply in replies] == [200, 200, 200], replies
        assert len({reply.body['outcome'] for reply in replies}) == 1
        assert assert_once(fleet, caller)[request['request_id']] == 1

    def test_crossing_copies_run_once(self, fleet: Fleet) -> None:
        """Copies that arrive together at both daemons run once."""
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
        assert assert_once(fleet, caller)[request['request_id']] == 1

    def test_a_lost_reply_is_not_run_again(self, fleet: Fleet) -> None:
        """After a lost reply every repeat says so, whatever its ticket."""
        caller = Caller()
        here, there = fleet.callers
        request = caller.request(caller.ticket(here))
        faults(fleet, 'reg-0', rules=[{'kind': 'lose_reply', 'limit': 1}])
        first = caller.send(here, request)
        renewed = {**request, 'ticket': caller.ticket(there)}
        repeats = [
            caller.send(here, request),
            caller.send(there, request),
            caller.send(there, renewed),
            caller.send(here, renewed),
        ]
        verdicts = {reply.body['verdict'] for reply in (first, *repeats)}
        assert verdicts == {'may_have_run'}
        assert assert_once(fleet, caller)[request['request_id']] == 1

    def test_a_late_outcome_is_learnt(self, fleet: Fleet) -> None:
        """A repeat after the caller's deadline gets the late outcome."""
        caller = Caller()
        here, there = fleet.callers
        request = caller.request(caller.ticket(here))
        late = {'kind': 'late', 'limit': 1, 'delay_ms': 1000}
        faults(fleet, 'reg-0', rules=[late])
        first = caller.send(here, {**request, 'deadline_ms': 300})
        assert first.body['code'] == 'deadline', first
        assert first.body['verdict'] == 'may_have_run'
        wait_until(
            lambda: caller.send(there, request).status == 200,
            _CAP_S,
            'the late outcome',
        )
        assert assert_once(fleet, caller)[request['request_id']] == 1

    def test_a_refusal_is_true_and_final(self, fleet: Fleet) -> None:
        """What a server refused is not run, and a copy does not revive it."""
        caller = Caller()
        here, _ = fleet.callers
        request = caller.request(caller.ticket(here), key=25)
        request['deadline_ms'] = 5
        refused = caller.send(here, request)
        assert refused.body['verdict'] == 'not_run', refused
        again = caller.send(here, {**request, 'deadline_ms': 5000})
        assert again.body['verdict'] == 'not_run', again
        assert request['request_id'] not in assert_once(fleet, caller)

    def test_platform_down(self, fleet: Fleet) -> None:
        """Tickets are issued and used while the platform is away."""
        caller = Caller()
        fleet.platform.key_value.pause()
        fleet.platform.vm_list.pause()
        request = caller.request(caller.ticket(fleet.callers[0]))
        replies = [caller.send(each, request) for each in fleet.callers]
        fleet.platform.key_value.resume()
        fleet.platform.vm_list.resume()
        assert {reply.status for reply in replies} == {200}, replies
        assert assert_once(fleet, caller)[request['request_id']] == 1
