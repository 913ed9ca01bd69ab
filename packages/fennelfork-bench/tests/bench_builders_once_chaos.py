"""Callers and troubles of the random test of at most once."""

import random
import time
from collections.abc import Callable
from typing import Final

import attrs
from bench_builders_once import Caller, faults

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

_PATIENCE_MS: Final = 3000
_MOST_TRIES: Final = 12
_ODD_SHARE: Final = 0.3
_RULES: Final = (
    {'kind': 'lose_reply', 'share': 0.4, 'call': 'execute'},
    {'kind': 'late', 'share': 0.5, 'delay_ms': 400, 'call': 'execute'},
    {'kind': 'cross', 'share': 0.4, 'call': 'execute'},
    {'kind': 'cut', 'share': 0.4, 'call': 'execute'},
    {'kind': 'mute', 'share': 0.2, 'call': 'execute'},
)


@attrs.define(kw_only=True)
class Deeds:
    """A caller that wants deeds done, each once.

    Now and then it sends an id under a ticket that is not its own, as a
    caller with a fault would; the system has to refuse that.
    """

    caller: Caller
    fleet: Fleet
    rng: random.Random
    names: dict[str, str] = attrs.field(factory=dict)

    def work(self, count: int) -> None:
        """Do deeds one after the other."""
        for number in range(count):
            self._one(f'deed-{self.rng.random()}-{number}')

    def _one(self, name: str) -> None:
        once = OnceCaller()
        step = CallerStep.RENEW
        request: dict[str, object] = {}
        for _ in range(_MOST_TRIES):
            if step is CallerStep.RENEW:
                request = self._renew(name)
            elif step is not CallerStep.ASK_AGAIN:
                return
            step = once.next_step(self._send(request), 1)
            time.sleep(self.rng.uniform(0, 0.05))

    def _renew(self, name: str) -> dict[str, object]:
        request = self.caller.request(self._ticket(), self.rng.randrange(40))
        self.names[str(request['request_id'])] = name
        return {**request, 'deadline_ms': 600}

    def _send(self, request: dict[str, object]) -> CallerEvent:
        if self.rng.random() < _ODD_SHARE:
            odd = {**request, 'ticket': self._ticket()}
            self.caller.send(self._address(), odd, _PATIENCE_MS)
        return _event(
            self.caller.send(self._address(), request, _PATIENCE_MS),
        )

    def _ticket(self) -> str:
        while True:
            reply = http.get(self._address(), '/v1/entries', 500)
            if reply.fine:
                return str(reply.body['ticket'])
            time.sleep(0.02)

    def _address(self) -> str:
        return self.rng.choice(list(self.fleet.callers))


Trouble = Callable[[Fleet, random.Random], None]


def trouble(fleet: Fleet, rng: random.Random) -> None:
    """Bring one trouble over the fleet, and end what can be ended."""
    rng.choice(_TROUBLES)(fleet, rng)


def _event(reply: http.HttpReply) -> CallerEvent:
    if reply.status == 0:
        # urllib3 says NewConnectionError only if no connection was opened.
        opened = reply.fault != 'NewConnectionError'
        return AnswerLost() if opened else ConnectFailed()
    if reply.fine:
        return AnswerReceived(verdict=Verdict.RAN, has_outcome=True)
    return AnswerReceived(verdict=Verdict(reply.body['verdict']))


def _kill(fleet: Fleet, rng: random.Random) -> None:
    name = rng.choice(list(fleet.daemons))
    fleet.daemons[name].kill()
    time.sleep(rng.uniform(0, 0.5))
    fleet.start_daemons([fleet.daemon_spec(name)])


def _pause(fleet: Fleet, rng: random.Random) -> None:
    daemon = rng.choice(list(fleet.daemons.values()))
    daemon.pause()
    time.sleep(rng.uniform(0.3, 2))
    daemon.resume()


def _spoil(fleet: Fleet, rng: random.Random) -> None:
    faults(fleet, rng.choice(list(fleet.backends)), rules=[rng.choice(_RULES)])
    time.sleep(0.5)


def _freeze(fleet: Fleet, rng: random.Random) -> None:
    server = rng.choice(list(fleet.backends))
    faults(fleet, server, freeze_ms=rng.uniform(300, 1500))
    time.sleep(0.3)


def _platform(fleet: Fleet, rng: random.Random) -> None:
    fleet.platform.key_value.pause()
    time.sleep(rng.uniform(0.3, 1))
    fleet.platform.key_value.resume()


_TROUBLES: Final[tuple[Trouble, ...]] = (
    _kill,
    _pause,
    _spoil,
    _spoil,
    _freeze,
    _platform,
)
