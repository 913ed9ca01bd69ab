"""Model of daemons and a backend server for at-most-once tests."""

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
_NO_REPLY: Final = not_run(FailureCode.UNREACHABLE, 'no reply')


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
    manual_time: ManualTime,
    name: str = 'vm-1',
    incarnation: int = 1,
    table_type: type[OnceTable] = OnceTable,
) -> OnceGate:
    """Build a gate with a clock of its own origin."""
    rng = random.Random(f'{name}/{incarnation}')
    clock = Clock(read_ms=lambda: manual_time.at_ms + _ORIGINS_MS[name])
    return OnceGate(
        key=ticket_key(name, incarnation, rng.randbytes(16)),
        clock=clock,
        rng=rng,
        table=table_type(clock=clock, limits=LIMITS),
    )


@attrs.frozen(kw_only=True, eq=False)
class Message:
    """Execute request in flight to a backend server."""

    request_id: str
    gate: OnceGate
    deadline_ms: float


@attrs.define(kw_only=True)
class Backend:
    """Backend server that counts executions and enforces deadlines."""

    runs: Counter[str] = attrs.field(factory=Counter)
    started_ms: dict[str, float] = attrs.field(factory=dict)

    def run(self, message: Message, now_ms: float) -> str | None:
        """Execute the request, or refuse an expired one."""
        if now_ms >= message.deadline_ms:
            return None
        self.runs[message.request_id] += 1
        self.started_ms[message.request_id] = now_ms
        return f'outcome of {message.request_id}'


@attrs.define(kw_only=True)
class Fleet:
    """Two daemons, the backend server and the answers to callers."""

    manual_time: ManualTime = attrs.field(factory=ManualTime)
    backend: Backend = attrs.field(factory=Backend)
    gates: dict[str, OnceGate] = attrs.field(factory=dict)
    restarts: Counter[str] = attrs.field(factory=Counter)
    jobs: list[tuple[OnceGate, str]] = attrs.field(factory=list)
    in_flight: list[Message] = attrs.field(factory=list)
    not_run_ids: set[str] = attrs.field(factory=set)
    outcomes: dict[str, str] = attrs.field(factory=dict)
    expires_ms: dict[str, float] = attrs.field(factory=dict)
    table_type: type[OnceTable] = OnceTable

    def start(self, name: str) -> None:
        """Start the next incarnation of a daemon, discarding the last."""
        self.restarts[name] += 1
        lost = self.gates.get(name)
        self.jobs = [job for job in self.jobs if job[0] is not lost]
        self.gates[name] = build_gate(
            self.manual_time,
            name,
            self.restarts[name],
            self.table_type,
        )

    def ticket(self, name: str) -> str:
        """Request a ticket from a daemon."""
        issued = self.gates[name].issue(LIFETIME_MS)
        assert issued is not None
        self.expires_ms[issued.serial] = self.manual_time.at_ms + LIFETIME_MS
        return issued.text

    def submit(
        self, name: str, request: ExecuteRequest, is_partitioned: bool
    ) -> None:
        """Submit a request; a partitioned daemon cannot reach its peers."""
        self.record_answer(
            request.request_id, self.decide(name, request, is_partitioned)
        )

    def decide(
        self,
        name: str,
        request: ExecuteRequest,
        is_partitioned: bool,
    ) -> Result[str, Failure]:
        """Decide as the daemons do, without waiting for a running request."""
        routed = self.gates[name].route(request)
        if isinstance(routed, Failed):
            return Failed(routed.failure())
        place = routed.unwrap()
        if isinstance(place, ForwardToPeer):
            if (
                is_partitioned
                or self.restarts[place.daemon] != place.incarnation
            ):
                return Failed(self.unreachable())
            name = place.daemon
        return self._admit(self.gates[name], request)

    def unreachable(self) -> Failure:
        """Return the failure for an unreachable issuing daemon."""
        return unknown_outcome('the daemon of the ticket cannot be asked')

    def record_answer(
        self, request_id: str, answer: Result[str, Failure]
    ) -> None:
        """Record the answer to a caller."""
        if isinstance(answer, Success):
            self.outcomes[request_id] = answer.unwrap()
        elif answer.failure().verdict is Verdict.NOT_RUN:
            self.not_run_ids.add(request_id)

    def send(self, position: int, wait_ms: float) -> None:
        """Check the expiry of a job and send it with a limit of `wait_ms`."""
        gate, request_id = self.jobs.pop(position)
        permission = gate.table.begin_send(request_id)
        if isinstance(permission, Failed):
            self.record_answer(request_id, Failed(permission.failure()))
            return
        deadline_ms = self.manual_time.at_ms + min(permission.unwrap(), wait_ms)
        self.in_flight.append(
            Message(request_id=request_id, gate=gate, deadline_ms=deadline_ms),
        )

    def deliver(self, position: int, reply_lost: bool) -> None:
        """Deliver a message to the backend server and return its reply."""
        message = self.in_flight.pop(position)
        outcome = self.backend.run(message, self.manual_time.at_ms)
        table = message.gate.table
        if reply_lost:
            self.abandon_message(message)
        elif outcome is None:
            table.revert_send(message.request_id)
            failure = table.abandon(message.request_id, _NO_REPLY)
            self.record_answer(message.request_id, Failed(failure))
        else:
            table.record_outcome(message.request_id, outcome)
            self.record_answer(message.request_id, Success(outcome))

    def abandon_message(self, message: Message) -> None:
        """Abandon a message in the daemon that sent it."""
        failure = message.gate.table.abandon(message.request_id, _NO_REPLY)
        self.record_answer(message.request_id, Failed(failure))

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
