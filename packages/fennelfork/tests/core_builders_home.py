"""Builders of a home scheduler with servers, work and time."""

import random
from collections.abc import Iterable

import attrs
from core_builders_answers import snapshot

from fennelfork import ManualTime, manual_clock
from fennelfork.gather import SnapshotView, key_range
from fennelfork.home import (
    Action,
    Cancel,
    Flow,
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
    """A scheduler under a clock that a test moves."""

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
        """Offer one piece of work."""
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
        """Let time pass, then tick."""
        self.time.advance(by_ms)
        return self.home.tick()


def rig(
    settings: HomeSettings = HEDGED,
    *,
    servers: int = 3,
    slots: int = 2,
    held: Iterable[SnapshotView] = SERVING.snapshots,
) -> Rig:
    """Build a shard of like servers, named s0, s1 and so on."""
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
    """Pick what is sent."""
    return [action for action in actions if isinstance(action, Send)]


def cancels(actions: Iterable[Action]) -> list[Cancel]:
    """Pick what is cancelled."""
    return [action for action in actions if isinstance(action, Cancel)]


def refusals(actions: Iterable[Action]) -> list[TaskRefused]:
    """Pick what is refused."""
    return [action for action in actions if isinstance(action, TaskRefused)]


def answers(actions: Iterable[Action]) -> list[TaskAnswered]:
    """Pick what is answered."""
    return [action for action in actions if isinstance(action, TaskAnswered)]


def warm(shard: Rig, *, runs: int = 60, took_ms: float = 10) -> None:
    """Let a shard learn its service time."""
    for _ in range(runs):
        sent = sends(shard.submit())
        shard.time.advance(took_ms)
        shard.home.on_reply(sent[0].attempt)
