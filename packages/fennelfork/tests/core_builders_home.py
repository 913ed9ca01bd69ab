"""Builders of a home scheduler with servers, tasks and a clock."""

import random
from collections.abc import Iterable

import attrs
from core_builders_answers import snapshot

from fennelfork import ManualTime, manual_clock
from fennelfork.gather import SnapshotView, key_range
from fennelfork.home import (
    Action,
    Cancel,
    HomeScheduler,
    HomeSettings,
    Send,
    ServerConfig,
    ServerReport,
    Task,
    TaskAnswered,
    TaskRefused,
    home_scheduler,
)
from fennelfork.servers import FixedHedge
from fennelfork.shares import Flow

WHOLE = key_range(0, 100)
SERVING = ServerReport(
    cold=False,
    draining=False,
    snapshots=(snapshot(7, (0, 100)),),
)
DRAINING = attrs.evolve(SERVING, draining=True)
COLD = attrs.evolve(SERVING, cold=True)
HEDGED = HomeSettings(hedge=FixedHedge(delay_ms=30), hedge_ratio=1)
COUNTER = Flow(tenant='salvare', traffic_class='counter')
AUDIT = Flow(tenant='trinacria', traffic_class='audit')


@attrs.define(kw_only=True)
class Rig:
    """Scheduler with a clock that the test advances."""

    time: ManualTime
    home: HomeScheduler
    _jobs: int = 0

    def submit(
        self,
        *,
        within_ms: float = 1000,
        flow: Flow = COUNTER,
        idempotent: bool = True,
        version: int | None = 7,
        request_id: str = '',
        weight: float = 1,
    ) -> list[Action]:
        """Submit one task."""
        self._jobs += 1
        job = f'j{self._jobs}'
        task = Task(
            job=job,
            request_id=request_id or job,
            span=WHOLE,
            snapshot=version,
            deadline_ms=self.time.at_ms + within_ms,
            flow=flow,
            idempotent=idempotent,
            weight=weight,
        )
        return self.home.submit(task)

    def after(self, by_ms: float) -> list[Action]:
        """Advance the clock, then tick."""
        self.time.advance(by_ms)
        return self.home.tick()


def rig(
    settings: HomeSettings = HEDGED,
    *,
    servers: int = 3,
    slots: int = 2,
    held: Iterable[SnapshotView] = SERVING.snapshots,
) -> Rig:
    """Build a shard of equal servers that are named s0, s1 and so on."""
    time = ManualTime(at_ms=1000)
    home = home_scheduler(manual_clock(time), random.Random(4))
    facts = [
        ServerConfig(name=f's{index}', slots=slots, connections=20)
        for index in range(servers)
    ]
    home.servers.configure(settings, facts)
    report = attrs.evolve(SERVING, snapshots=tuple(held))
    for server in facts:
        home.servers.on_report(server.name, report)
    return Rig(time=time, home=home)


def sends(actions: Iterable[Action]) -> list[Send]:
    """Return the `Send` actions."""
    return [action for action in actions if isinstance(action, Send)]


def cancels(actions: Iterable[Action]) -> list[Cancel]:
    """Return the `Cancel` actions."""
    return [action for action in actions if isinstance(action, Cancel)]


def refusals(actions: Iterable[Action]) -> list[TaskRefused]:
    """Return the `TaskRefused` actions."""
    return [action for action in actions if isinstance(action, TaskRefused)]


def answers(actions: Iterable[Action]) -> list[TaskAnswered]:
    """Return the `TaskAnswered` actions."""
    return [action for action in actions if isinstance(action, TaskAnswered)]


def warm(shard: Rig, *, runs: int = 60, took_ms: float = 10) -> None:
    """Run tasks so that the shard measures its service time."""
    for _ in range(runs):
        sent = sends(shard.submit())
        shard.time.advance(took_ms)
        shard.home.on_reply(sent[0].attempt)
