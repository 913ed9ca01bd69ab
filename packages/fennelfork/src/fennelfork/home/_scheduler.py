"""Event-driven scheduler of one shard at its home daemon.

Each event returns actions for the adapter to carry out. The adapter reports
the end of each attempt, and calls `tick` at `next_tick_ms`.
"""

import random

import attrs

from fennelfork._clock import Clock
from fennelfork._verdict import Failure, FailureCode, not_run
from fennelfork.home._blackboard import ShardBlackboard, shard_blackboard
from fennelfork.home._dispatch import dispatch
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
from fennelfork.shares import Flow


@attrs.frozen(kw_only=True)
class HomeScheduler:
    """Scheduler of the server slots of one shard.

    Attributes:
        servers: controller of the configuration and reports of servers.
    """

    servers: HomeServers
    _blackboard: ShardBlackboard

    @property
    def next_tick_ms(self) -> float | None:
        """Time at which `tick` must be called, or `None`."""
        return self._blackboard.next_timer_ms

    @property
    def queued(self) -> int:
        """Number of queued tasks."""
        return len(self._blackboard.queue)

    @property
    def busy(self) -> int:
        """Number of server slots in use."""
        return self._blackboard.slots.total

    @property
    def server_statuses(self) -> tuple[ServerStatus, ...]:
        """Status of each server, for operators."""
        return server_statuses(self._blackboard)

    def level(self, flow: Flow) -> float:
        """Return the share of the requests of a flow that is admitted."""
        now_ms = self._blackboard.clock.now_ms()
        return self._blackboard.admission.level(flow, now_ms)

    def submit(self, task: Task) -> list[Action]:
        """Queue a task, or refuse it.

        Raises:
            ValueError: if a job with the same name exists.
        """
        return [
            *admit_task(self._blackboard, task),
            *dispatch(self._blackboard),
        ]

    def on_reply(self, attempt: int) -> list[Action]:
        """Handle the complete and valid response of an attempt."""
        return [
            *handle_reply(self._blackboard, attempt),
            *dispatch(self._blackboard),
        ]

    def on_failure(self, attempt: int, failure: Failure) -> list[Action]:
        """Handle the failure of an attempt, such as an invalid response."""
        return [
            *handle_failure(self._blackboard, attempt, failure),
            *dispatch(self._blackboard),
        ]

    def on_cancelled(self, attempt: int) -> list[Action]:
        """Handle the confirmation that a cancelled attempt has ended."""
        end_attempt(self._blackboard, attempt)
        return dispatch(self._blackboard)

    def withdraw(self, job: str) -> list[Action]:
        """Cancel a job whose requester no longer waits for the result."""
        unfinished_job = self._blackboard.jobs.get(job)
        if unfinished_job is None:
            return []
        cancels = cancel_attempts(
            self._blackboard, unfinished_job, is_lost=False
        )
        cancelled = not_run(
            FailureCode.CANCELLED,
            'the requester no longer waits for the result',
        )
        refused = refuse(self._blackboard, unfinished_job, cancelled)
        return [refused, *cancels, *dispatch(self._blackboard)]

    def tick(self) -> list[Action]:
        """Handle all timers that are due."""
        actions: list[Action] = []
        timer = self._blackboard.pop_due_timer()
        while timer is not None:
            actions.extend(handle_timer(self._blackboard, timer))
            timer = self._blackboard.pop_due_timer()
        return [*actions, *dispatch(self._blackboard)]


def home_scheduler(clock: Clock, rng: random.Random) -> HomeScheduler:
    """Create the scheduler of a shard without servers."""
    state = shard_blackboard(HomeSettings(), clock, rng)
    return HomeScheduler(
        blackboard=state, servers=HomeServers(blackboard=state)
    )
