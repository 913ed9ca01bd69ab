"""Scheduling at the home daemon, and handling of each failure."""

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
    """Accounting of slots."""

    def test_assigns_each_slot_once(self) -> None:
        """Six slots run six attempts, two per server; the seventh waits."""
        shard = rig()
        placed = [send.server for send in _fill(shard)]
        assert sorted(placed) == ['s0', 's0', 's1', 's1', 's2', 's2']
        assert not shard.submit()
        assert shard.home.queued == 1

    def test_cancelled_attempt_keeps_its_slot(self) -> None:
        """The slot is released when the server confirms the cancellation."""
        shard = rig(servers=2, slots=1)
        first = sends(shard.submit())[0]
        hedge = sends(shard.after(30))[0]
        assert cancels(shard.home.on_reply(hedge.attempt))
        assert shard.home.busy == 1
        shard.home.on_cancelled(first.attempt)
        assert shard.home.busy == 0

    def test_unconfirmed_cancel_times_out(self) -> None:
        """A server that does not confirm does not hold a slot forever."""
        shard = rig(servers=2, slots=1)
        shard.submit()
        hedge = sends(shard.after(30))[0]
        shard.home.on_reply(hedge.attempt)
        shard.after(2000)
        assert shard.home.busy == 0


class TestHedge:
    """Hedges of overdue attempts."""

    def test_goes_to_another_server_on_a_fresh_connection(self) -> None:
        """After the delay a hedge is sent to another server."""
        shard = rig()
        first = sends(shard.submit())[0]
        assert not shard.after(29)
        hedge = sends(shard.after(1))[0]
        assert hedge.server != first.server
        assert hedge.fresh_connection

    def test_first_reply_wins_and_the_loser_is_cancelled(self) -> None:
        """One answer and one cancel; the late response has no effect."""
        shard = rig()
        first = sends(shard.submit())[0]
        hedge = sends(shard.after(30))[0]
        ended = shard.home.on_reply(hedge.attempt)
        assert [done.attempt for done in answers(ended)] == [hedge.attempt]
        assert [lost.attempt for lost in cancels(ended)] == [first.attempt]
        assert not shard.home.on_reply(first.attempt)

    def test_waits_for_a_free_slot(self) -> None:
        """A hedge waits until another server has a free slot."""
        shard = rig(servers=2, slots=1)
        shard.submit()
        other = sends(shard.submit())[0]
        assert not sends(shard.after(30))
        freed = sends(shard.home.on_reply(other.attempt))
        assert [send.server for send in freed] == [other.server]

    def test_budget_limits_hedges(self) -> None:
        """A ratio of 5% allows one hedge per twenty sub-queries."""
        shard = rig(attrs.evolve(HEDGED, hedge_ratio=0.05), slots=20)
        for _ in range(40):
            shard.submit()
        assert len(sends(shard.after(30))) == 2

    def test_no_hedge_of_non_idempotent_task(self) -> None:
        """A non-idempotent task is sent once, on a fresh connection."""
        shard = rig()
        sent = sends(shard.submit(idempotent=False))
        assert [send.fresh_connection for send in sent] == [True]
        assert not sends(shard.after(500))


class TestRetry:
    """Retries of failed attempts."""

    def test_other_server_after_a_failure(self) -> None:
        """An idempotent task is retried on another replica."""
        shard = rig()
        first = sends(shard.submit())[0]
        again = sends(shard.home.on_failure(first.attempt, _LOST))[0]
        assert again.server != first.server

    @pytest.mark.parametrize(
        ('failure', 'attempts', 'ends'),
        [(_SHED, 1, []), (_LOST, 0, [Verdict.MAY_HAVE_RUN])],
    )
    def test_not_idempotent_only_if_not_run(
        self,
        failure: object,
        attempts: int,
        ends: list[Verdict],
    ) -> None:
        """An execution is retried after a shed, not after a lost response."""
        shard = rig()
        first = sends(shard.submit(idempotent=False))[0]
        ended = shard.home.on_failure(first.attempt, failure)
        assert len(sends(ended)) == attempts
        verdicts = [refused.failure.verdict for refused in refusals(ended)]
        assert verdicts == ends

    def test_budget_limits_retries(self) -> None:
        """The budget limits retries when all servers fail."""
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

    def test_backoff_limits_retries_of_sheds(self) -> None:
        """The backoff of a server grows with consecutive sheds."""
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

    def test_sheds_until_deadline_are_not_run(self) -> None:
        """The verdict is `NOT_RUN` when all servers shed until the deadline."""
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
    """Attempts on servers that lost the snapshot."""

    def test_server_without_snapshot_is_excluded(self) -> None:
        """An outdated health report does not restore the snapshot."""
        shard = rig(servers=1)
        first = sends(shard.submit())[0]
        ended = refusals(shard.home.on_failure(first.attempt, _GONE))
        assert ended[0].failure.code is FailureCode.SNAPSHOT_GONE
        shard.home.servers.on_report('s0', SERVING)
        assert not sends(shard.submit())

    def test_other_replica_is_tried(self) -> None:
        """The sub-query is retried on a replica that holds the snapshot."""
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
    def test_reports_why_no_server_can_run(
        self,
        held: tuple,
        code: FailureCode,
    ) -> None:
        """A task that no server can run is refused with the reason."""
        refused = refusals(rig(held=held).submit())
        assert refused[0].failure.code is code
        assert refused[0].failure.verdict is Verdict.NOT_RUN


class TestServers:
    """Selection of servers by their state."""

    def test_draining_server_gets_no_new_attempts(self) -> None:
        """A health report, another source or a refusal suffices."""
        shard = rig(servers=3)
        shard.home.servers.on_report('s0', DRAINING)
        shard.home.servers.on_leaving('s1')
        first = sends(shard.submit())[0]
        assert first.server == 's2'
        drains = not_run(FailureCode.DRAINING, 'draining')
        shard.home.on_failure(first.attempt, drains)
        shard.home.servers.on_report('s2', SERVING)
        assert not sends(shard.submit())

    def test_slow_server_is_ejected_and_ramped_up(self) -> None:
        """Five lost hedges eject a server; it returns in slow start."""
        shard = rig(servers=2, slots=6)
        shard.home.servers.on_report('s1', DRAINING)
        slow = [sends(shard.submit())[0] for _ in range(5)]
        shard.home.servers.on_report('s1', SERVING)
        for hedge in sends(shard.after(30)):
            shard.home.on_reply(hedge.attempt)
        for attempt in slow:
            shard.home.on_cancelled(attempt.attempt)
        assert {sends(shard.submit())[0].server for _ in range(6)} == {'s1'}
        shard.time.advance(500)
        back = [send for _ in range(4) for send in sends(shard.submit())]
        assert [send.server for send in back] == ['s0']

    def test_refused_connection_ejects_immediately(self) -> None:
        """A server that refuses a connection is ejected."""
        shard = rig(servers=2)
        first = sends(shard.submit())[0]
        again = sends(shard.home.on_failure(first.attempt, _NO_CONNECT))
        others = [send for _ in range(3) for send in sends(shard.submit())]
        used = {send.server for send in (*again, *others)}
        assert used == {'s0', 's1'} - {first.server}

    def test_queued_task_starts_when_ejection_ends(self) -> None:
        """A queued task is sent when the only server returns."""
        shard = rig(servers=1)
        first = sends(shard.submit(within_ms=5000))[0]
        assert not shard.home.on_failure(first.attempt, _NO_CONNECT)
        assert len(sends(shard.after(500))) == 1

    def test_cold_server_warms_up(self) -> None:
        """Repeated cold reports do not restart the slow start."""
        shard = rig(servers=1, slots=4)
        shard.home.servers.on_report('s0', COLD)
        first = sends(shard.submit())[0]
        assert not shard.submit()
        shard.home.servers.on_report('s0', COLD)
        assert len(sends(shard.home.on_reply(first.attempt))) == 1
        assert len(sends(shard.submit())) == 1


class TestAdmission:
    """Admission, deadlines and fairness between flows."""

    def test_refuses_unreachable_deadline(self) -> None:
        """The next task after twelve queued ones would miss the deadline."""
        shard = rig()
        warm(shard, took_ms=100)
        _fill(shard)
        for _ in range(12):
            assert not refusals(shard.submit(within_ms=310, request_id='r12'))
        refused = refusals(shard.submit(within_ms=310, request_id='r12'))
        assert refused[0].failure.verdict is Verdict.NOT_RUN
        assert refused[0].failure.retry_after_ms > 0

    def test_queued_task_is_refused_at_deadline(self) -> None:
        """A task without a slot at the deadline is refused as not run."""
        shard = rig(servers=1, slots=1)
        shard.submit(within_ms=9000)
        shard.submit(within_ms=200)
        late = refusals(shard.after(200))
        assert [job.failure.verdict for job in late] == [Verdict.NOT_RUN]

    def test_sent_attempt_past_deadline_may_have_run(self) -> None:
        """The attempt is cancelled with the verdict `MAY_HAVE_RUN`."""
        shard = rig(HomeSettings())
        shard.submit(within_ms=200)
        ended = shard.after(200)
        assert refusals(ended)[0].failure.verdict is Verdict.MAY_HAVE_RUN
        assert len(cancels(ended)) == 1

    def test_homes_shed_the_same_requests(self) -> None:
        """Under overload two shards admit the same requests."""
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

    def test_heavy_flow_does_not_starve_light_flow(self) -> None:
        """A light flow is served although a heavy flow was queued first."""
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

    def test_full_queue_evicts_job_of_longest_flow(self) -> None:
        """The last job of the flow that exceeds its share is evicted."""
        shard = rig(HomeSettings(queue_limit=5), servers=1, slots=1)
        for _ in range(6):
            shard.submit(within_ms=9000, flow=AUDIT)
        victims = refusals(shard.submit(flow=COUNTER))
        assert [job.task.flow for job in victims] == [AUDIT]
        assert victims[0].failure.code is FailureCode.QUEUE_FULL

    def test_withdrawn_tasks_are_cancelled(self) -> None:
        """A withdrawn task is cancelled, or removed from the queue."""
        shard = rig(servers=1, slots=1)
        sent = sends(shard.submit())[0]
        shard.submit()
        assert cancels(shard.home.withdraw(sent.task.job))
        ended = refusals(shard.home.withdraw('j2'))
        assert ended[0].failure.verdict is Verdict.NOT_RUN
        assert shard.home.queued == 0
