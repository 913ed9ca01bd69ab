"""The home of some shards: hands out their servers' slots."""

from collections.abc import Iterable
from typing import Final

import attrs
import eventlet

from fennelfork import (
    Blackboard,
    Clock,
    FailureCode,
    Part,
    Planned,
    ScatterOrder,
    ScatterOutcome,
    ShardView,
    not_run,
)
from fennelfork_daemon._server_book import ServerBook, ServerState

_POLL_MS: Final = 500
_POLL_TIMEOUT_MS: Final = 400
_WAIT_MS: Final = 2
_MS: Final = 1000


@attrs.define(kw_only=True)
class HomeService:
    """Runs sub-queries on the servers of shards."""

    _board: Blackboard
    _clock: Clock
    _book: ServerBook

    def scatter(self, order: ScatterOrder) -> ScatterOutcome:
        """Run the sub-queries of `order`, within its deadline."""
        deadline_ms = self._clock.now_ms() + order.deadline_ms
        pool = eventlet.GreenPool(len(order.planned) or 1)
        threads = [
            pool.spawn(self._run, order, planned, deadline_ms)
            for planned in order.planned
        ]
        shards = sorted({planned.shard for planned in order.planned})
        return ScatterOutcome(
            parts=tuple(thread.wait() for thread in threads),
            shards=self._views(order.front, shards),
            config_version=self._board.config_version,
        )

    def describe(
        self,
        front: str,
        shards: tuple[str, ...],
    ) -> tuple[ShardView, ...]:
        """Tell which snapshots and ranges the shards hold."""
        for name in shards:
            servers = self._book.of_shard(front, name)
            if not any(state.snapshots for state in servers):
                self._poll(servers)
        return self._views(front, shards)

    def poll_forever(self) -> None:
        """Read the health endpoints of the servers known here, again."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            self._poll(self._book.servers)
            eventlet.sleep(_POLL_MS / _MS)

    def _views(
        self,
        front: str,
        shards: Iterable[str],
    ) -> tuple[ShardView, ...]:
        return tuple(self._book.view(front, shard) for shard in shards)

    def _poll(self, servers: tuple[ServerState, ...]) -> None:
        pool = eventlet.GreenPool()
        for state in servers:
            pool.spawn_n(state.poll, _POLL_TIMEOUT_MS)
        pool.waitall()

    def _run(
        self,
        order: ScatterOrder,
        planned: Planned,
        deadline_ms: float,
    ) -> Part:
        tried: set[str] = set()
        failure = not_run(FailureCode.NO_SERVER, 'no server holds the range')
        while self._clock.now_ms() < deadline_ms:
            state = self._choose(order, planned, tried)
            if state is None:
                eventlet.sleep(_WAIT_MS / _MS)
                tried.clear()
                continue
            part = self._send(state, order, planned, deadline_ms)
            if part.failure is None:
                return part
            if part.failure.code is FailureCode.SNAPSHOT_GONE:
                return part
            failure = part.failure
            tried.add(state.name)
        return Part(planned=planned, failure=failure)

    def _choose(
        self,
        order: ScatterOrder,
        planned: Planned,
        tried: set[str],
    ) -> ServerState | None:
        usable = [
            state
            for state in self._book.of_shard(order.front, planned.shard)
            if state.name not in tried
            and state.serving
            and state.free > 0
            and state.holds(order.snapshot)
        ]
        return max(usable, key=lambda state: state.free, default=None)

    def _send(
        self,
        state: ServerState,
        order: ScatterOrder,
        planned: Planned,
        deadline_ms: float,
    ) -> Part:
        started_ms = self._clock.now_ms()
        with state.slot():
            result = state.client.search(
                planned.expected,
                order.query,
                deadline_ms - started_ms,
            )
        return Part(
            planned=planned,
            reply=result.value_or(None),
            failure=result.swap().value_or(None),
            server_ms=self._clock.now_ms() - started_ms,
            server=state.name,
        )


def home_service(board: Blackboard, clock: Clock) -> HomeService:
    """Build the home side of a daemon."""
    return HomeService(board=board, clock=clock, book=ServerBook(board=board))
