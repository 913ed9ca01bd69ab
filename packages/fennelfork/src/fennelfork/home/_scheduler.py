"""The scheduler of one shard at its home, driven by events.

Each event returns the actions that the adapter carries out. The adapter
reports the end of each attempt, and calls `tick` when `next_tick_ms` has
come.
"""

import random

import attrs

from fennelfork._clock import Clock
from fennelfork._verdict import Failure, FailureCode, not_run
from fennelfork.home._board import Board, board
from fennelfork.home._dispatch import dispatch
from fennelfork.home._fair import Flow
from fennelfork.home._intake import look, take_in
from fennelfork.home._messages import Action, HomeSettings, Task
from fennelfork.home._outcome import (
    cancel_copies,
    end_attempt,
    failed,
    refuse,
    replied,
)
from fennelfork.home._servers import HomeServers
from fennelfork.home._sight import ServerSight, server_sights


@attrs.frozen(kw_only=True)
class HomeScheduler:
    """Hands out the slots of one shard's servers.

    Attributes:
        servers: takes facts about the servers.
    """

    servers: HomeServers
    _board: Board

    @property
    def next_tick_ms(self) -> float | None:
        """When `tick` has something to do."""
        return self._board.next_timer_ms

    @property
    def queued(self) -> int:
        """How many pieces of work wait for a slot."""
        return len(self._board.queue)

    @property
    def busy(self) -> int:
        """How many slots are held."""
        return self._board.slots.total

    @property
    def sights(self) -> tuple[ServerSight, ...]:
        """The servers, as operators are shown them."""
        return server_sights(self._board)

    def level(self, flow: Flow) -> float:
        """Tell which part of a flow's requests is taken at present."""
        now_ms = self._board.clock.now_ms()
        return self._board.admission.level(flow, now_ms)

    def offer(self, task: Task) -> list[Action]:
        """Take in a piece of work, or refuse it at once.

        Raises:
            ValueError: if the job's name is in use.
        """
        return [*take_in(self._board, task), *dispatch(self._board)]

    def on_reply(self, attempt: int) -> list[Action]:
        """Take the whole and checked reply of an attempt."""
        return [*replied(self._board, attempt), *dispatch(self._board)]

    def on_failure(self, attempt: int, failure: Failure) -> list[Action]:
        """Take the failure of an attempt, a reply that lies among them."""
        return [*failed(self._board, attempt, failure), *dispatch(self._board)]

    def on_cancelled(self, attempt: int) -> list[Action]:
        """Take a server's word that a cancelled attempt has ended."""
        end_attempt(self._board, attempt)
        return dispatch(self._board)

    def withdraw(self, job: str) -> list[Action]:
        """End work that nobody waits for any longer."""
        found = self._board.jobs.get(job)
        if found is None:
            return []
        cancels = cancel_copies(self._board, found, lost=False)
        gone = not_run(FailureCode.CANCELLED, 'nobody waits for it')
        refused = refuse(self._board, found, gone)
        return [refused, *cancels, *dispatch(self._board)]

    def tick(self) -> list[Action]:
        """Do what time calls for."""
        actions: list[Action] = []
        timer = self._board.due_timer()
        while timer is not None:
            actions.extend(look(self._board, timer))
            timer = self._board.due_timer()
        return [*actions, *dispatch(self._board)]


def home_scheduler(clock: Clock, rng: random.Random) -> HomeScheduler:
    """Build the scheduler of a shard that has no servers yet."""
    state = board(HomeSettings(), clock, rng)
    return HomeScheduler(board=state, servers=HomeServers(board=state))
