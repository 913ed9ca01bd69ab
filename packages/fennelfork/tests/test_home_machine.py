"""Stateful test of the scheduler with failing servers."""

from collections import Counter

from core_builders_home import (
    AUDIT,
    COUNTER,
    DRAINING,
    SERVING,
    answers,
    cancels,
    refusals,
    rig,
    sends,
)
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    multiple,
    rule,
)

from fennelfork import FailureCode, Verdict, may_have_run, not_run
from fennelfork.home import Action, Cancel, HomeSettings, Send
from fennelfork.servers import FixedHedge

_SLOTS = 2
# Key of the number of shed attempts.
_SHED = 'shed'
_REFUSAL = 'refusal'
_REPORT = 'health report'
_SERVERS = st.sampled_from(['s0', 's1', 's2'])
# Failures of attempts that did not run, and of attempts that may have run.
_REFUSED = [
    not_run(FailureCode.SHED, 'full'),
    not_run(FailureCode.DRAINING, 'draining'),
    not_run(FailureCode.SNAPSHOT_GONE, 'gone'),
    not_run(FailureCode.UNREACHABLE, 'no connection'),
]
_LOST = [
    may_have_run(FailureCode.UNREACHABLE, 'reset'),
    may_have_run(FailureCode.BAD_REPLY, 'crossed'),
]
_SETTINGS = HomeSettings(
    hedge=FixedHedge(delay_ms=30),
    hedge_ratio=0.5,
    queue_limit=4,
)


class HomeMachine(RuleBasedStateMachine):
    """Compares the scheduler with a model of the attempts that ran."""

    outstanding = Bundle('outstanding')

    def __init__(self) -> None:
        """Start with three servers of two slots each."""
        super().__init__()
        self.rig = rig(_SETTINGS, slots=_SLOTS)
        self.pending: dict[str, float] = {}
        self.held: dict[int, str] = {}
        self.ran: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        # Pairs of a server and the kind of the evidence that it drains.
        self.draining: set[tuple[str, str]] = set()

    @rule(
        target=outstanding,
        within_ms=st.integers(1, 300),
        flow=st.sampled_from([COUNTER, AUDIT]),
        idempotent=st.booleans(),
    )
    def submit(self, **asked: object) -> object:
        """Submit a task."""
        before = set(self.pending)
        actions = self.rig.submit(**asked)
        job = f'j{self.rig._jobs}'  # noqa: WPS437 - the builder's count
        self.pending[job] = self.rig.time.at_ms + asked['within_ms']
        assert job not in before
        return self.carry_out(actions)

    @rule(target=outstanding, send=consumes(outstanding))
    def answer(self, send: Send) -> object:
        """A server runs an attempt and its response arrives."""
        self.ran[send.task.job] += 1
        self.held.pop(send.attempt, None)
        return self.carry_out(self.rig.home.on_reply(send.attempt))

    @rule(
        target=outstanding,
        send=consumes(outstanding),
        failure=st.sampled_from(_REFUSED),
    )
    def refuse(self, send: Send, failure: object) -> object:
        """A server refuses an attempt before it runs."""
        is_known = self.held.pop(send.attempt, None) is not None
        self.sent[_SHED] += failure.code is FailureCode.SHED
        if is_known and failure.code is FailureCode.DRAINING:
            self.draining.add((send.server, _REFUSAL))
        return self.carry_out(self.rig.home.on_failure(send.attempt, failure))

    @rule(
        target=outstanding,
        send=consumes(outstanding),
        failure=st.sampled_from(_LOST),
        ran=st.booleans(),
    )
    def lose(self, send: Send, failure: object, *, ran: bool) -> object:
        """A response is lost; the attempt may have run."""
        self.ran[send.task.job] += ran
        self.held.pop(send.attempt, None)
        return self.carry_out(self.rig.home.on_failure(send.attempt, failure))

    @rule(target=outstanding, by_ms=st.integers(1, 400))
    def wait(self, by_ms: int) -> object:
        """Advance the clock past hedge delays and deadlines."""
        return self.carry_out(self.rig.after(by_ms))

    @rule(target=outstanding, server=_SERVERS, draining=st.booleans())
    def report(self, server: str, *, draining: bool) -> object:
        """Apply a health report."""
        if draining:
            self.draining.add((server, _REPORT))
        elif (server, _REPORT) in self.draining:
            self.draining -= {(server, _REPORT), (server, _REFUSAL)}
        said = DRAINING if draining else SERVING
        return self.carry_out(self.rig.home.servers.on_report(server, said))

    @rule(target=outstanding, server=_SERVERS)
    def end_process(self, server: str) -> object:
        """The process of a server ends, and another starts in its place."""
        self.draining -= {(server, _REPORT), (server, _REFUSAL)}
        self.rig.home.servers.drain_state(server).record_process_ended()
        return self.report(server, draining=False)

    @invariant()
    def slots_are_never_exceeded(self) -> None:
        """No server has more attempts than slots."""
        held = Counter(self.held.values())
        assert all(count <= _SLOTS for count in held.values())

    @invariant()
    def no_task_outlives_its_deadline(self) -> None:
        """No pending task is past its deadline after a tick."""
        now_ms = self.rig.time.at_ms
        assert all(until >= now_ms for until in self.pending.values())

    def carry_out(self, actions: list[Action]) -> object:
        """Check and record the actions of the scheduler."""
        for done in answers(actions):
            self.pending.pop(done.task.job)
        for refused in refusals(actions):
            self.pending.pop(refused.task.job)
            if refused.failure.verdict is Verdict.NOT_RUN:
                assert self.ran[refused.task.job] == 0
        for send in sends(actions):
            self.check_send(send)
        return multiple(*sends(actions), *self.confirm(cancels(actions)))

    def confirm(self, cancelled: list[Cancel]) -> list[Send]:
        """Confirm each cancellation; a late response may still arrive."""
        started: list[Send] = []
        for cancel in cancelled:
            self.held.pop(cancel.attempt)
            actions = self.rig.home.on_cancelled(cancel.attempt)
            for send in sends(actions):
                self.check_send(send)
            started.extend(sends(actions))
        return started

    def check_send(self, send: Send) -> None:
        """Check the guarantees for one attempt."""
        job = send.task.job
        assert send.server not in {server for server, _ in self.draining}
        assert self.rig.time.at_ms < self.pending[job]
        if not send.task.idempotent:
            assert self.ran[job] == 0
            assert send.fresh_connection
        self.sent[job] += 1
        self.held[send.attempt] = send.server
        jobs = len(self.sent.keys() - {_SHED})
        # Retries of shed attempts do not use the budget.
        extra = self.sent.total() - jobs - 2 * self.sent[_SHED]
        retries = 10 + 0.1 * self.ran.total()
        assert extra <= 0.5 * jobs + retries

    def teardown(self) -> None:
        """Check that all jobs have ended and all slots are free."""
        self.report('s0', draining=False)
        self.carry_out(self.rig.after(1000))
        self.rig.after(5000)
        assert not self.pending
        assert self.rig.home.queued == 0
        assert self.rig.home.busy == 0


TestHomeMachine = HomeMachine.TestCase
