"""Callers and faults of the random test of at-most-once execution."""

import random
import time
from collections.abc import Callable
from typing import Final

import attrs
from bench_builders_once import Caller, set_faults

from fennelfork import Verdict
from fennelfork.once import (
    AnswerLost,
    AnswerReceived,
    CallerEvent,
    CallerStep,
    ConnectFailed,
    OnceCaller,
)
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._fleet import Fleet

_TIMEOUT_MS: Final = 3000
_MAX_ATTEMPTS: Final = 12
_WRONG_TICKET_SHARE: Final = 0.3
_RESPONSE_FAULTS: Final = (
    {'kind': 'lose_reply', 'share': 0.4, 'call': 'execute'},
    {'kind': 'late', 'share': 0.5, 'delay_ms': 400, 'call': 'execute'},
    {'kind': 'cross', 'share': 0.4, 'call': 'execute'},
    {'kind': 'cut', 'share': 0.4, 'call': 'execute'},
    {'kind': 'mute', 'share': 0.2, 'call': 'execute'},
)


@attrs.define(kw_only=True)
class ChaosCaller:
    """Caller that executes operations, each at most once.

    Some requests are also sent with a ticket that does not match the request
    id, as a faulty caller does. The daemons have to refuse these requests.
    """

    caller: Caller
    fleet: Fleet
    rng: random.Random
    names_by_id: dict[str, str] = attrs.field(factory=dict)

    def run_operations(self, count: int) -> None:
        """Execute operations one after the other."""
        for number in range(count):
            self._execute_operation(f'deed-{self.rng.random()}-{number}')

    def _execute_operation(self, name: str) -> None:
        caller_state = OnceCaller()
        step = CallerStep.RENEW
        request: dict[str, object] = {}
        for _ in range(_MAX_ATTEMPTS):
            if step is CallerStep.RENEW:
                request = self._new_request(name)
            elif step is not CallerStep.ASK_AGAIN:
                return
            step = caller_state.next_step(self._send(request), 1)
            time.sleep(self.rng.uniform(0, 0.05))

    def _new_request(self, name: str) -> dict[str, object]:
        request = self.caller.request(self._ticket(), self.rng.randrange(40))
        self.names_by_id[str(request['request_id'])] = name
        return {**request, 'deadline_ms': 600}

    def _send(self, request: dict[str, object]) -> CallerEvent:
        if self.rng.random() < _WRONG_TICKET_SHARE:
            mismatched = {**request, 'ticket': self._ticket()}
            self.caller.send(self._address(), mismatched, _TIMEOUT_MS)
        return _caller_event(
            self.caller.send(self._address(), request, _TIMEOUT_MS),
        )

    def _ticket(self) -> str:
        while True:
            reply = http.get(self._address(), '/v1/entries', 500)
            if reply.is_success:
                return str(reply.body['ticket'])
            time.sleep(0.02)

    def _address(self) -> str:
        return self.rng.choice(list(self.fleet.callers))


Fault = Callable[[Fleet, random.Random], None]


def inject_fault(fleet: Fleet, rng: random.Random) -> None:
    """Inject one random fault into the fleet."""
    rng.choice(_FAULTS)(fleet, rng)


def _caller_event(reply: http.HttpResponse) -> CallerEvent:
    if reply.status == 0:
        # urllib3 raises NewConnectionError only if no connection was opened.
        opened = reply.fault != 'NewConnectionError'
        return AnswerLost() if opened else ConnectFailed()
    if reply.is_success:
        return AnswerReceived(verdict=Verdict.RAN, has_outcome=True)
    return AnswerReceived(verdict=Verdict(reply.body['verdict']))


def _restart_daemon(fleet: Fleet, rng: random.Random) -> None:
    name = rng.choice(list(fleet.daemons))
    fleet.daemons[name].kill()
    time.sleep(rng.uniform(0, 0.5))
    fleet.start_daemons([fleet.daemon_spec(name)])


def _pause_daemon(fleet: Fleet, rng: random.Random) -> None:
    daemon = rng.choice(list(fleet.daemons.values()))
    daemon.pause()
    time.sleep(rng.uniform(0.3, 2))
    daemon.resume()


def _inject_response_fault(fleet: Fleet, rng: random.Random) -> None:
    set_faults(
        fleet,
        rng.choice(list(fleet.backends)),
        rules=[rng.choice(_RESPONSE_FAULTS)],
    )
    time.sleep(0.5)


def _freeze_server(fleet: Fleet, rng: random.Random) -> None:
    server = rng.choice(list(fleet.backends))
    set_faults(fleet, server, freeze_ms=rng.uniform(300, 1500))
    time.sleep(0.3)


def _pause_key_value_store(fleet: Fleet, rng: random.Random) -> None:
    fleet.platform.key_value.pause()
    time.sleep(rng.uniform(0.3, 1))
    fleet.platform.key_value.resume()


_FAULTS: Final[tuple[Fault, ...]] = (
    _restart_daemon,
    _pause_daemon,
    _inject_response_fault,
    _inject_response_fault,
    _freeze_server,
    _pause_key_value_store,
)
