"""A model of daemons and a backend server for tests of at most once."""

import random
from collections import Counter
from typing import Final

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork import Clock, Failure, FailureCode, ManualTime, Verdict, not_run
from fennelfork.once import (
    ExecuteRequest,
    ForwardToPeer,
    OnceGate,
    OnceLimits,
    OnceTable,
    ReplayAnswer,
    StartExecution,
    bind_request_id,
    ticket_key,
    unknown_outcome,
)

NAMES: Final = ('vm-1', 'vm-2')
LIFETIME_MS: Final = 100
GRACE_MS: Final = 20
LIMITS: Final = OnceLimits(
    max_entries=2, grace_ms=GRACE_MS, max_outcome_chars=64
)
_ORIGINS_MS: Final = {'vm-1': 0.0, 'vm-2': 70.0}
_REASON: Final = not_run(FailureCode.UNREACHABLE, 'no reply')


def execute_request(
    ticket: str,
    name: str = 'cert-1',
    action: str = 'issue',
) -> ExecuteRequest:
    """Build a request whose id is bound to `ticket`."""
    return ExecuteRequest(
        request_id=bind_request_id(name, ticket),
        ticket=ticket,
        front='raft-search',
        key=7,
        action=action,
        tenant='salvare',
    )


def build_gate(
    manual: ManualTime,
    name: str = 'vm-1',
    incarnation: int = 1,
    table_type: type[OnceTable] = OnceTable,
) -> OnceGate:
    """Build a gate on a clock of its own origin."""
    rng = random.Random(f'{name}/{incarnation}')
    clock = Clock(read_ms=lambda: manual.at_ms + _ORIGINS_MS[name])
    return OnceGate(
        key=ticket_key(name, incarnation, rng.randbytes(16)),
        clock=clock,
        rng=rng,
        table=table_type(clock=clock, limits=LIMITS),
    )


@attrs.frozen(kw_only=True, eq=False)
class Message:
    """An execute call on its way to a backend server."""

    request_id: str
    gate: OnceGate
    late_ms: float


@attrs.define(kw_only=True)
class Backend:
    """A backend server that counts its runs and keeps deadlines."""

    runs: Counter[str] = attrs.field(factory=Counter)
    started_ms: dict[str, float] = attrs.field(factory=dict)

    def run(self, message: Message, now_ms: float) -> str | None:
        """Run the request, or refuse it when it came too late."""
        if now_ms >= message.late_ms:
            return None
        self.runs[message.request_id] += 1
        self.started_ms[message.request_id] = now_ms
        return f'outcome of {message.request_id}'


@attrs.define(kw_only=True)
class Fleet:
    """Two daemons, the backend server, and what callers were told."""

    manual: ManualTime = attrs.field(factory=ManualTime)
    backend: Backend = attrs.field(factory=Backend)
    gates: dict[str, OnceGate] = attrs.field(factory=dict)
    restarts: Counter[str] = attrs.field(factory=Counter)
    jobs: list[tuple[OnceGate, str]] = attrs.field(factory=list)
    wire: list[Message] = attrs.field(factory=list)
    refused: set[str] = attrs.field(factory=set)
    outcomes: dict[str, str] = attrs.field(factory=dict)
    expires_ms: dict[str, float] = attrs.field(factory=dict)
    table_type: type[OnceTable] = OnceTable

    def start(self, name: str) -> None:
        """Start the next incarnation of a daemon; the last one is lost."""
        self.restarts[name] += 1
        lost = self.gates.get(name)
        self.jobs = [job for job in self.jobs if job[0] is not lost]
        self.gates[name] = build_gate(
            self.manual,
            name,
            self.restarts[name],
            self.table_type,
        )

    def ticket(self, name: str) -> str:
        """Ask a daemon for a ticket."""
        issued = self.gates[name].issue(LIFETIME_MS)
        assert issued is not None
        self.expires_ms[issued.serial] = self.manual.at_ms + LIFETIME_MS
        return issued.text

    def ask(self, name: str, request: ExecuteRequest, cut: bool) -> None:
        """Send a request to a daemon; `cut` parts it from its peers."""
        self.tell(request.request_id, self.decide(name, request, cut))

    def decide(
        self,
        name: str,
        request: ExecuteRequest,
        cut: bool,
    ) -> Result[str, Failure]:
        """Decide as the daemons do; a run in progress is not waited for."""
        routed = self.gates[name].route(request)
        if isinstance(routed, Failed):
            return Failed(routed.failure())
        to = routed.unwrap()
        if isinstance(to, ForwardToPeer):
            if cut or self.restarts[to.daemon] != to.incarnation:
                return Failed(self.unreachable())
            name = to.daemon
        return self._admit(self.gates[name], request)

    def unreachable(self) -> Failure:
        """Give what a daemon says when it cannot ask the right one."""
        return unknown_outcome('the daemon of the ticket cannot be asked')

    def tell(self, request_id: str, answer: Result[str, Failure]) -> None:
        """Note what a caller was told of a request."""
        if isinstance(answer, Success):
            self.outcomes[request_id] = answer.unwrap()
        elif answer.failure().verdict is Verdict.NOT_RUN:
            self.refused.add(request_id)

    def send(self, position: int, wait_ms: float) -> None:
        """Let a job check and send, after `wait_ms` of its run time."""
        gate, request_id = self.jobs.pop(position)
        leave = gate.table.begin_send(request_id)
        if isinstance(leave, Failed):
            self.tell(request_id, Failed(leave.failure()))
            return
        late_ms = self.manual.at_ms + min(leave.unwrap(), wait_ms)
        self.wire.append(
            Message(request_id=request_id, gate=gate, late_ms=late_ms),
        )

    def deliver(self, position: int, reply_lost: bool) -> None:
        """Let the backend server read a message, and the daemon its reply."""
        message = self.wire.pop(position)
        outcome = self.backend.run(message, self.manual.at_ms)
        table = message.gate.table
        if reply_lost:
            self.lose(message)
        elif outcome is None:
            table.revert_send(message.request_id)
            failure = table.abandon(message.request_id, _REASON)
            self.tell(message.request_id, Failed(failure))
        else:
            table.record_outcome(message.request_id, outcome)
            self.tell(message.request_id, Success(outcome))

    def lose(self, message: Message) -> None:
        """Let the daemon give up on a message."""
        failure = message.gate.table.abandon(message.request_id, _REASON)
        self.tell(message.request_id, Failed(failure))

    def _admit(
        self,
        gate: OnceGate,
        request: ExecuteRequest,
    ) -> Result[str, Failure]:
        admitted = gate.admit(request)
        if isinstance(admitted, Failed):
            return Failed(admitted.failure())
        admission = admitted.unwrap()
        if isinstance(admission, ReplayAnswer):
            return admission.answer
        if isinstance(admission, StartExecution):
            self.jobs.append((gate, request.request_id))
        return Failed(unknown_outcome('no reply yet'))
