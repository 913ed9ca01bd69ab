"""Publication of suspected poison requests to the store."""

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
from fennelfork.routes import FleetMaximum, StorePolling, SuspicionExchange
from fennelfork_daemon.routes._ports import Store

_MS_PER_SECOND: Final = 1000
# Maximum time between checks for expired suspicions of poison requests.
_MAX_IDLE_MS: Final = 60_000.0
# Maximum number of transient suspicions that the whole fleet publishes at once.
# When many servers crash together, all requests in flight become suspected, and
# every daemon receives each entry. A poison request causes further crashes.
_MAX_TRANSIENT_IN_FLEET: Final = 64
# Backoff after failed calls, which limits the load on the store.
_INITIAL_DELAY_MS: Final = 500.0
_MAX_DELAY_MS: Final = 5000.0
_BACKOFF: Final = Backoff(base_ms=_INITIAL_DELAY_MS, cap_ms=_MAX_DELAY_MS)


@attrs.define(kw_only=True)
class SuspicionPublisher:
    """Publishes status changes of suspected poison requests to the store.

    Changes are published in batches.

    Durable changes are published at once. Transient changes are delayed by a
    random time that grows with the fleet, so that the daemons do not write at
    the same time when many servers crash together.
    """

    _exchange: SuspicionExchange
    _store: Store
    _lease: Callable[[], int | None]
    _polling: StorePolling
    _fleet_size: FleetMaximum
    _clock: Clock
    _rng: random.Random
    _failures: int = 0
    _wake_ups: LightQueue = attrs.field(factory=lambda: LightQueue(maxsize=1))

    def wake(self) -> None:
        """Request publication of the pending changes."""
        with contextlib.suppress(Full):
            self._wake_ups.put_nowait(True)

    def run(self) -> None:
        """Publish status changes of suspected poison requests until exit."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            self._wait_for_wake_up(
                self._rng.uniform(_MAX_IDLE_MS / 2, _MAX_IDLE_MS)
            )
            self._wait_for_batch()
            self._failures = 0 if self.step() else self._failures + 1
            if self._failures:
                delay_ms = _BACKOFF.delay_ms(self._failures, self._rng)
                eventlet.sleep(delay_ms / _MS_PER_SECOND)

    def step(self) -> bool:
        """Publish the pending changes; return false if this failed."""
        lease = self._lease()
        updates = self._exchange.take_updates(self._draw_max_transient())
        if not updates:
            return True
        if lease is not None:
            published = self._store.publish(updates, lease)
            if is_successful(published) and published.unwrap():
                return True
        self._exchange.requeue(updates)
        self.wake()
        return False

    def _draw_max_transient(self) -> int:
        """Return the maximum number of transient suspicions in a batch.

        The share of this daemon in the fleet is rounded at random.
        """
        share = _MAX_TRANSIENT_IN_FLEET / self._fleet_size.maximum
        return int(share + self._rng.random())

    def _wait_for_batch(self) -> None:
        """Wait for further changes unless a durable change is pending."""
        now_ms = self._clock.now_ms()
        deadline_ms = now_ms + self._rng.uniform(0, self._polling.spread_ms)
        while now_ms < deadline_ms and not self._exchange.has_durable_changes:
            self._wait_for_wake_up(deadline_ms - now_ms)
            now_ms = self._clock.now_ms()

    def _wait_for_wake_up(self, wait_ms: float) -> None:
        with contextlib.suppress(Empty):
            self._wake_ups.get(timeout=wait_ms / _MS_PER_SECOND)
