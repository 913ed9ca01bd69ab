"""The scheduler of a home: each failure provoked, and what stops it."""

import attrs
import pytest
from core_builders_answers import snapshot
from core_builders_home import (
    AUDIT,
    COLD,
    COUNTER,
    DRAINING,
    HEDGED,
    SERVING,
    Rig,
    answers,
    cancels,
    refusals,
    rig,
    sends,
    warm,
)

from fennelfork import FailureCode, Verdict, may_have_run, not_run
from fennelfork.home import HomeSettings, Send

_SHED = not_run(FailureCode.SHED, 'all slots busy')
_LOST = may_have_run(FailureCode.UNREACHABLE, 'reset')
_NO_CONNECT = not_run(FailureCode.UNREACHABLE, 'refused')
_GONE = not_run(FailureCode.SNAPSHOT_GONE, 'gone')


def _fill(shard: Rig) -> list[Send]:
    return [sends(shard.submit(within_ms=9000))[0] for _ in range(6)]


class TestSlots:
    """Exact counts."""

    def test_hands_out_each_slot_once(self) -> None:
        """Six slots take six copies, two a server; the seventh waits."""
        shard = rig()
        placed = [send.server for send in _fill(shard)]
        assert sorted(placed) == ['s0', 's0', 's1', 's1', 's2', 's2']
        assert not shard.submit()
        assert shard.home.queued == 1

    def test_a_cancelled_copy_keeps_its_slot(self) -> None:
        """Only the server's word, or a long silence, frees the slot."""
        shard = rig(servers=2, slots=1)
        first = sends(shard.submit())[0]
        hedge = sends(shard.after(30))[0]
        assert cancels(shard.home.on_reply(hedge.attempt))
        assert shard.home.busy == 1
        shard.home.on_cancelled(first.attempt)
        assert shard.home.busy == 0

    def test_an_unconfirmed_cancel_is_given_up(self) -> None:
        """A server that confirms nothing does not hold a slot for ever."""
        shard = rig(servers=2, slots=1)
        shard.submit()
        hedge = sends(shard.after(30))[0]
        shard.home.on_reply(hedge.attempt)
        shard.after(2000)
        assert shard.home.busy == 0


class TestHedge:
    """Second copies."""

    def test_goes_to_another_server_on_a_fresh_connection(self) -> None:
        """After the delay a second copy is sent, elsewhere."""
        shard = rig()
        first = sends(shard.submit())[0]
        assert not shard.after(29)
        hedge = sends(shard.after(1))[0]
        assert hedge.server != first.server
        assert hedge.fresh_connection

    def test_first_reply_wins_and_the_loser_is_cancelled(self) -> None:
        """One answer, one cancel, and the late reply changes nothing."""
        shard = rig()
        first = sends(shard.submit())[0]
        hedge = sends(shard.after(30))[0]
        ended = shard.home.on_reply(hedge.attempt)
        assert [done.attempt for done in answers(ended)] == [hedge.attempt]
        assert [lost.attempt for lost in cancels(ended)] == [first.attempt]
        assert not shard.home.on_reply(first.attempt)

    def test_waits_for_a_free_slot(self) -> None:
        """Without a free slot elsewhere there is no hedge until one frees."""
        shard = rig(servers=2, slots=1)
        shard.submit()
        other = sends(shard.submit())[0]
        assert not sends(shard.after(30))
        freed = sends(shard.home.on_reply(other.attempt))
        assert [send.server for send in freed] == [other.server]

    def test_budget_bounds_extra_runs(self) -> None:
        """At 5% a budget pays for one hedge in twenty sub-queries."""
        shard = rig(attrs.evolve(HEDGED, hedge_ratio=0.05), slots=20)
        for _ in range(40):
            shard.submit()
        assert len(sends(shard.after(30))) == 2

    def test_never_for_work_that_is_not_idempotent(self) -> None:
        """It is sent once, on a fresh connection, however long it takes."""
        shard = rig()
        sent = sends(shard.submit(idempotent=False))
        assert [send.fresh_connection for send in sent] == [True]
        assert not sends(shard.after(500))


class TestRetry:
    """What is tried again."""

    def test_other_server_after_a_failure(self) -> None:
        """Idempotent work goes to another replica, once it is lost."""
        shard = rig()
        first = sends(shard.submit())[0]
        again = sends(shard.home.on_failure(first.attempt, _LOST))[0]
        assert again.server != first.server

    @pytest.mark.parametrize(
        ('failure', 'copies', 'ends'),
        [(_SHED, 1, []), (_LOST, 0, [Verdict.MAY_HAVE_RUN])],
    )
    def test_not_idempotent_only_if_not_run(
        self,
        failure: object,
        copies: int,
        ends: list[Verdict],
    ) -> None:
        """A lost reply of an execution ends it; a shed one goes on."""
        shard = rig()
        first = sends(shard.submit(idempotent=False))[0]
        ended = shard.home.on_failure(first.attempt, failure)
        assert len(sends(ended)) == copies
        verdicts = [refused.failure.verdict for refused in refusals(ended)]
        assert verdicts == ends

    def test_budget_ends_a_retry_storm(self) -> None:
        """With every server failing, retries stay at the budget."""
        shard = rig(HomeSettings())
        retries: list[Send] = []
        for _ in range(30):
            actions = shard.submit()
            while sends(actions):
                attempt = sends(actions)[0].attempt
                actions = shard.home.on_failure(attempt, _LOST)
                retries.extend(sends(actions))
            shard.after(600)
        assert len(retries) == 10

    def test_sheds_are_no_retry_storm(self) -> None:
        """A server that sheds is left alone, longer each time in a row."""
        shard = rig(HomeSettings(), servers=1, slots=1)
        waiting = sends(shard.submit(within_ms=2000))
        sheds = 0
        for _ in range(1900):
            actions = shard.after(1)
            for send in waiting:
                sheds += 1
                actions.extend(shard.home.on_failure(send.attempt, _SHED))
            waiting = sends(actions)
        assert 5 < sheds < 20

    def test_a_shed_is_not_run_to_the_end(self) -> None:
        """When all servers shed till the deadline, nothing ran."""
        shard = rig(HomeSettings())
        refused = []
        for run in range(20):
            waiting = sends(shard.submit(within_ms=60))
            while len(refused) <= run:
                actions = shard.after(2)
                for send in waiting:
                    actions.extend(shard.home.on_failure(send.attempt, _SHED))
                waiting = sends(actions)
                refused.extend(refusals(actions))
        assert {job.failure.verdict for job in refused} == {Verdict.NOT_RUN}


class TestSnapshot:
    """One snapshot an answer."""

    def test_a_server_that_lost_it_gets_no_more(self) -> None:
        """Its stale health report does not bring the snapshot back."""
        shard = rig(servers=1)
        first = sends(shard.submit())[0]
        ended = refusals(shard.home.on_failure(first.attempt, _GONE))
        assert ended[0].failure.code is FailureCode.SNAPSHOT_GONE
        shard.home.servers.on_report('s0', SERVING)
        assert not sends(shard.submit())

    def test_another_replica_may_still_have_it(self) -> None:
        """The sub-query moves on to a replica that holds the snapshot."""
        shard = rig(servers=2)
        first = sends(shard.submit())[0]
        again = sends(shard.home.on_failure(first.attempt, _GONE))
        assert len(again) == 1

    @pytest.mark.parametrize(
        ('held', 'code'),
        [
            ((), FailureCode.NO_SERVER),
            ((snapshot(8, (0, 100)),), FailureCode.SNAPSHOT_GONE),
            ((snapshot(7, (0, 50)),), FailureCode.NOT_HELD),
        ],
    )
    def test_says_why_nobody_can(
        self,
        held: tuple,
        code: FailureCode,
    ) -> None:
        """What no server holds is refused at once, with the reason."""
        refused = refusals(rig(held=held).submit())
        assert refused[0].failure.code is code
        assert refused[0].failure.verdict is Verdict.NOT_RUN


class TestServers:
    """Whom to trust with work."""

    def test_draining_gets_nothing_new(self) -> None:
        """Health, list or a refusal: whichever says it first counts."""
        shard = rig(servers=3)
        shard.home.servers.on_report('s0', DRAINING)
        shard.home.servers.on_leaving('s1')
        first = sends(shard.submit())[0]
        assert first.server == 's2'
        drains = not_run(FailureCode.DRAINING, 'draining')
        shard.home.on_failure(first.attempt, drains)
        shard.home.servers.on_report('s2', SERVING)
        assert not sends(shard.submit())

    def test_a_lying_server_is_ejected_and_returns_slowly(self) -> None:
        """Five lost hedges eject it; it comes back one slot at a time."""
        shard = rig(servers=2, slots=6)
        shard.home.servers.on_report('s1', DRAINING)
        slow = [sends(shard.submit())[0] for _ in range(5)]
        shard.home.servers.on_report('s1', SERVING)
        for hedge in sends(shard.after(30)):
            shard.home.on_reply(hedge.attempt)
        for copy in slow:
            shard.home.on_cancelled(copy.attempt)
        assert {sends(shard.submit())[0].server for _ in range(6)} == {'s1'}
        shard.time.advance(500)
        back = [send for _ in range(4) for send in sends(shard.submit())]
        assert [send.server for send in back] == ['s0']

    def test_refused_connections_eject_at_once(self) -> None:
        """A server that takes no connection gets nothing for a while."""
        shard = rig(servers=2)
        first = sends(shard.submit())[0]
        again = sends(shard.home.on_failure(first.attempt, _NO_CONNECT))
        others = [send for _ in range(3) for send in sends(shard.submit())]
        used = {send.server for send in (*again, *others)}
        assert used == {'s0', 's1'} - {first.server}

    def test_queued_work_starts_when_ejection_ends(self) -> None:
        """A single server that comes back gets what waited for it."""
        shard = rig(servers=1)
        first = sends(shard.submit(within_ms=5000))[0]
        assert not shard.home.on_failure(first.attempt, _NO_CONNECT)
        assert len(sends(shard.after(500))) == 1

    def test_cold_server_warms_up(self) -> None:
        """A cold server starts with one slot, whatever it keeps saying."""
        shard = rig(servers=1, slots=4)
        shard.home.servers.on_report('s0', COLD)
        first = sends(shard.submit())[0]
        assert not shard.submit()
        shard.home.servers.on_report('s0', COLD)
        assert len(sends(shard.home.on_reply(first.attempt))) == 1
        assert len(sends(shard.submit())) == 1


class TestAdmission:
    """What is refused at once, and what gets its share."""

    def test_refuses_what_cannot_be_met(self) -> None:
        """Twelve wait for six slots of 100 ms; the next would be late."""
        shard = rig()
        warm(shard, took_ms=100)
        _fill(shard)
        for _ in range(12):
            assert not refusals(shard.submit(within_ms=310, request_id='r12'))
        refused = refusals(shard.submit(within_ms=310, request_id='r12'))
        assert refused[0].failure.verdict is Verdict.NOT_RUN
        assert refused[0].failure.retry_after_ms > 0

    def test_queued_work_is_refused_in_time(self) -> None:
        """Work whose slot comes too late is refused as not run."""
        shard = rig(servers=1, slots=1)
        shard.submit(within_ms=9000)
        shard.submit(within_ms=200)
        late = refusals(shard.after(200))
        assert [job.failure.verdict for job in late] == [Verdict.NOT_RUN]

    def test_a_sent_copy_past_its_deadline_may_have_run(self) -> None:
        """The deadline cancels the copy and admits that it may have run."""
        shard = rig(HomeSettings())
        shard.submit(within_ms=200)
        ended = shard.after(200)
        assert refusals(ended)[0].failure.verdict is Verdict.MAY_HAVE_RUN
        assert len(cancels(ended)) == 1

    def test_homes_shed_the_same_requests(self) -> None:
        """Under overload two shards take the same requests."""
        taken = []
        for _ in range(2):
            shard = rig()
            warm(shard, took_ms=100)
            _fill(shard)
            took = set()
            for number in range(400):
                shard.time.advance(1)
                name = f'request-{number}'
                offered = shard.submit(within_ms=1200, request_id=name)
                if not refusals(offered):
                    took.add(name)
            taken.append(took)
        assert taken[0] == taken[1]
        assert 10 < len(taken[0]) < 40

    def test_an_audit_does_not_starve_the_counter(self) -> None:
        """A light flow gets the next slot though a heavy one came first."""
        shard = rig(servers=1, slots=1)
        running = sends(shard.submit(within_ms=9000))[0]
        for _ in range(20):
            shard.submit(within_ms=2000, flow=AUDIT)
        shard.submit(within_ms=9000, flow=COUNTER)
        served = []
        for _ in range(3):
            running = sends(shard.home.on_reply(running.attempt))[0]
            served.append(running.task.flow)
        assert COUNTER in served

    def test_a_full_queue_puts_out_the_crowding_flow(self) -> None:
        """The flow above its share loses its latest job, not the other."""
        shard = rig(HomeSettings(queue_limit=5), servers=1, slots=1)
        for _ in range(6):
            shard.submit(within_ms=9000, flow=AUDIT)
        victims = refusals(shard.submit(flow=COUNTER))
        assert [job.task.flow for job in victims] == [AUDIT]
        assert victims[0].failure.code is FailureCode.QUEUE_FULL

    def test_withdrawn_work_leaves_no_trace(self) -> None:
        """Work that nobody waits for is cancelled, or never starts."""
        shard = rig(servers=1, slots=1)
        sent = sends(shard.submit())[0]
        shard.submit()
        assert cancels(shard.home.withdraw(sent.task.job))
        ended = refusals(shard.home.withdraw('j2'))
        assert ended[0].failure.verdict is Verdict.NOT_RUN
        assert shard.home.queued == 0
