"""The scheduler of one shard at its home, driven by events.

Each event returns the actions that the adapter carries out. The adapter
reports the end of each attempt, and calls `tick` when `next_tick_ms` has
come.
"""

import random

import attrs

from fennelfork._clock import Clock
from fennelfork._verdict import Failure, FailureCode, not_run
from fennelfork.home._blackboard import ShardBlackboard, shard_blackboard
from fennelfork.home._dispatch import dispatch
from fennelfork.home._fair import Flow
from fennelfork.home._intake import admit_task, handle_timer
from fennelfork.home._messages import Action, HomeSettings, Task
from fennelfork.home._outcome import (
    cancel_attempts,
    end_attempt,
    handle_failure,
    handle_reply,
    refuse,
)
from fennelfork.home._servers import HomeServers
from fennelfork.home._status import ServerStatus, server_statuses


@attrs.frozen(kw_only=True)
class HomeScheduler:
    """Hands out the slots of one shard's servers.

    Attributes:
        servers: takes facts about the servers.
    """

    servers: HomeServers
    _blackboard: ShardBlackboard

    @property
    def next_tick_ms(self) -> float | None:
        """When `tick` has something to do."""
        return self._blackboard.next_timer_ms

    @property
    def queued(self) -> int:
        """How many pieces of work wait for a slot."""
        return len(self._blackboard.queue)

    @property
    def busy(self) -> int:
        """How many slots are held."""
        return self._blackboard.slots.total

    @property
    def server_statuses(self) -> tuple[ServerStatus, ...]:
        """The servers, as operators are shown them."""
        return server_statuses(self._blackboard)

    def level(self, flow: Flow) -> float:
        """Tell which part of a flow's requests is taken at present."""
        now_ms = self._blackboard.clock.now_ms()
        return self._blackboard.admission.level(flow, now_ms)

    def submit(self, task: Task) -> list[Action]:
        """Take in a piece of work, or refuse it at once.

        Raises:
            ValueError: if the job's name is in use.
        """
        return [
            *admit_task(self._blackboard, task),
            *dispatch(self._blackboard),
        ]

    def on_reply(self, attempt: int) -> list[Action]:
        """Take the whole and checked reply of an attempt."""
        return [
            *handle_reply(self._blackboard, attempt),
            *dispatch(self._blackboard),
        ]

    def on_failure(self, attempt: int, failure: Failure) -> list[Action]:
        """Take the failure of an attempt, a reply that lies among them."""
        return [
            *handle_failure(self._blackboard, attempt, failure),
            *dispatch(self._blackboard),
        ]

    def on_cancelled(self, attempt: int) -> list[Action]:
        """Take a server's word that a cancelled attempt has ended."""
        end_attempt(self._blackboard, attempt)
        return dispatch(self._blackboard)

    def withdraw(self, job: str) -> list[Action]:
        """End work that nobody waits for any longer."""
        found = self._blackboard.jobs.get(job)
        if found is None:
            return []
        cancels = cancel_attempts(self._blackboard, found, is_lost=False)
        gone = not_run(FailureCode.CANCELLED, 'nobody waits for it')
        refused = refuse(self._blackboard, found, gone)
        return [refused, *cancels, *dispatch(self._blackboard)]

    def tick(self) -> list[Action]:
        """Do what time calls for."""
        actions: list[Action] = []
        timer = self._blackboard.pop_due_timer()
        while timer is not None:
            actions.extend(handle_timer(self._blackboard, timer))
            timer = self._blackboard.pop_due_timer()
        return [*actions, *dispatch(self._blackboard)]


def home_scheduler(clock: Clock, rng: random.Random) -> HomeScheduler:
    """Build the scheduler of a shard that has no servers yet."""
    state = shard_blackboard(HomeSettings(), clock, rng)
    return HomeScheduler(
        blackboard=state, servers=HomeServers(blackboard=state)
    )
