"""The scheduler against servers that fail in any order."""

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
# Where the books count what servers shed.
_SHED = 'shed'
_SERVERS = st.sampled_from(['s0', 's1', 's2'])
# What a server did with a copy, and what the home learns of it.
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
    """Keeps its own books of what ran, and compares."""

    under_way = Bundle('under_way')

    def __init__(self) -> None:
        """Begin with three servers of two slots."""
        super().__init__()
        self.rig = rig(_SETTINGS, slots=_SLOTS)
        self.pending: dict[str, float] = {}
        self.held: dict[int, str] = {}
        self.ran: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.draining: set[str] = set()

    @rule(
        target=under_way,
        within_ms=st.integers(1, 300),
        flow=st.sampled_from([COUNTER, AUDIT]),
        idempotent=st.booleans(),
    )
    def submit(self, **asked: object) -> object:
        """A root asks for work."""
        before = set(self.pending)
        actions = self.rig.submit(**asked)
        job = f'j{self.rig._jobs}'  # noqa: WPS437 - the builder's count
        self.pending[job] = self.rig.time.at_ms + asked['within_ms']
        assert job not in before
        return self.carry_out(actions)

    @rule(target=under_way, send=consumes(under_way))
    def answer(self, send: Send) -> object:
        """A server runs a copy and its reply arrives, early or late."""
        self.ran[send.task.job] += 1
        self.held.pop(send.attempt, None)
        return self.carry_out(self.rig.home.on_reply(send.attempt))

    @rule(
        target=under_way,
        send=consumes(under_way),
        failure=st.sampled_from(_REFUSED),
    )
    def refuse(self, send: Send, failure: object) -> object:
        """A server refuses a copy before it runs."""
        self.held.pop(send.attempt, None)
        self.sent[_SHED] += failure.code is FailureCode.SHED
        return self.carry_out(self.rig.home.on_failure(send.attempt, failure))

    @rule(
        target=under_way,
        send=consumes(under_way),
        failure=st.sampled_from(_LOST),
        ran=st.booleans(),
    )
    def lose(self, send: Send, failure: object, *, ran: bool) -> object:
        """A reply is lost; the copy ran or not."""
        self.ran[send.task.job] += ran
        self.held.pop(send.attempt, None)
        return self.carry_out(self.rig.home.on_failure(send.attempt, failure))

    @rule(target=under_way, by_ms=st.integers(1, 400))
    def wait(self, by_ms: int) -> object:
        """Time passes; hedges and deadlines fall due."""
        return self.carry_out(self.rig.after(by_ms))

    @rule(target=under_way, server=_SERVERS, draining=st.booleans())
    def report(self, server: str, *, draining: bool) -> object:
        """A health endpoint speaks."""
        if draining:
            self.draining.add(server)
        else:
            self.draining.discard(server)
        said = DRAINING if draining else SERVING
        return self.carry_out(self.rig.home.servers.on_report(server, said))

    @invariant()
    def slots_are_never_oversold(self) -> None:
        """No server holds more copies than it has slots."""
        held = Counter(self.held.values())
        assert all(count <= _SLOTS for count in held.values())

    @invariant()
    def nothing_outlives_its_deadline(self) -> None:
        """What is pending has time left, after the last tick."""
        now_ms = self.rig.time.at_ms
        assert all(until >= now_ms for until in self.pending.values())

    def carry_out(self, actions: list[Action]) -> object:
        """Check and book what the scheduler orders."""
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
        """Confirm each cancel; a late reply may still come."""
        started: list[Send] = []
        for cancel in cancelled:
            self.held.pop(cancel.attempt)
            actions = self.rig.home.on_cancelled(cancel.attempt)
            for send in sends(actions):
                self.check_send(send)
            started.extend(sends(actions))
        return started

    def check_send(self, send: Send) -> None:
        """Check one copy against the promises."""
        job = send.task.job
        assert send.server not in self.draining
        assert self.rig.time.at_ms < self.pending[job]
        if not send.task.idempotent:
            assert self.ran[job] == 0
            assert send.fresh_connection
        self.sent[job] += 1
        self.held[send.attempt] = send.server
        jobs = len(self.sent.keys() - {_SHED})
        # What a server shed is sent again for nothing.
        extra = self.sent.total() - jobs - 2 * self.sent[_SHED]
        retries = 10 + 0.1 * self.ran.total()
        assert extra <= 0.5 * jobs + retries

    def teardown(self) -> None:
        """In the end each job has ended and each slot is free."""
        self.report('s0', draining=False)
        self.carry_out(self.rig.after(1000))
        self.rig.after(5000)
        assert not self.pending
        assert self.rig.home.queued == 0
        assert self.rig.home.busy == 0


TestHomeMachine = HomeMachine.TestCase
