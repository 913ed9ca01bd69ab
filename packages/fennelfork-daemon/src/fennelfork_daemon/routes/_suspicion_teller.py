"""Tells the store of requests under which backend servers ended."""

import contextlib
import random
from collections.abc import Callable
from typing import Final

import attrs
import eventlet
from eventlet.queue import Empty, Full, LightQueue
from returns.pipeline import is_successful

from fennelfork import Clock
from fennelfork.config import Backoff
from fennelfork.routes import FleetSize, StorePolling, SuspicionExchange
from fennelfork_daemon.routes._ports import Store

_MS_PER_SECOND: Final = 1000
# How often what is too old is looked for.
_SWEEP_MS: Final = 60_000.0
# Of requests that met ends at one moment, told by all daemons together. When
# many servers crash, thousands were under way in a large fleet, and each that is
# told goes to every daemon; of one that ends servers by itself, more follow.
_WEAK_OF_ALL: Final = 64
# After calls that the store did not take: it is away, and each call costs.
_PAUSE_MS: Final = 500.0
_LONGEST_PAUSE_MS: Final = 5000.0
_BACKOFF: Final = Backoff(base_ms=_PAUSE_MS, cap_ms=_LONGEST_PAUSE_MS)


@attrs.define(kw_only=True)
class SuspicionTeller:
    """Tells what is new, together where it comes together.

    What lasts is told at once. When many servers crash together, all daemons
    have something to tell of the requests that were under way; that is spread
    over a time that grows with the fleet, so that they do not all write at once.
    """

    _exchange: SuspicionExchange
    _store: Store
    _lease: Callable[[], int | None]
    _pace: StorePolling
    _fleet: FleetSize
    _clock: Clock
    _rng: random.Random
    _failures: int = 0
    _bell: LightQueue = attrs.field(factory=lambda: LightQueue(maxsize=1))

    def wake(self) -> None:
        """Look soon whether there is something to tell."""
        with contextlib.suppress(Full):
            self._bell.put_nowait(True)

    def run(self) -> None:
        """Tell until the process ends."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            self._wait(self._rng.uniform(_SWEEP_MS / 2, _SWEEP_MS))
            self._gather()
            self._failures = 0 if self.step() else self._failures + 1
            if self._failures:
                pause_ms = _BACKOFF.delay_ms(self._failures, self._rng)
                eventlet.sleep(pause_ms / _MS_PER_SECOND)

    def step(self) -> bool:
        """Tell what is new; tell whether the store took it."""
        lease = self._lease()
        news = self._exchange.take_updates(self._most_weak())
        if not news:
            return True
        if lease is not None:
            told = self._store.tell(news, lease)
            if is_successful(told) and told.unwrap():
                return True
        self._exchange.requeue(news)
        self.wake()
        return False

    def _most_weak(self) -> int:
        """Draw this daemon's part of what all may tell of one moment."""
        part = _WEAK_OF_ALL / self._fleet.max_size
        return int(part + self._rng.random())

    def _gather(self) -> None:
        """Let more come, unless something is urgent."""
        now_ms = self._clock.now_ms()
        until_ms = now_ms + self._rng.uniform(0, self._pace.spread_ms)
        while now_ms < until_ms and not self._exchange.has_durable_changes:
            self._wait(until_ms - now_ms)
            now_ms = self._clock.now_ms()

    def _wait(self, wait_ms: float) -> None:
        with contextlib.suppress(Empty):
            self._bell.get(timeout=wait_ms / _MS_PER_SECOND)
