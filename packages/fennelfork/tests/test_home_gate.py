"""The gate of a root, and the levels that homes tell."""

import pytest
from core_builders_home import AUDIT, COUNTER, refusals, rig, sends, warm
from returns.pipeline import is_successful

from fennelfork import ManualTime, Verdict, manual_clock
from fennelfork.home import EntryGate, HomeLevel, draw, entry_gate

_NAMES = [f'request-{number}' for number in range(200)]


def _told(home: str, level: float) -> HomeLevel:
    return HomeLevel(front='raft', flow=COUNTER, home=home, level=level)


def _let_in(gate: EntryGate) -> set[str]:
    return {
        name
        for name in _NAMES
        if is_successful(gate.judge('raft', COUNTER, name))
    }


def _drawn(lo: int, hi: int) -> set[str]:
    """Give the requests whose draw, in hundredths, is in the range."""
    return {name for name in _NAMES if lo <= int(draw(name) * 100) < hi}


class TestEntryGate:
    """What is refused before any home is asked."""

    def test_the_lowest_level_counts(self) -> None:
        """It lets in just what every home takes, and refuses as not run."""
        gate = entry_gate(manual_clock(ManualTime()))
        assert len(_let_in(gate)) == 200
        gate.learn(_told('vm-1', 0.5))
        gate.learn(_told('vm-2', 0.2))
        assert _let_in(gate) == _drawn(0, 20)
        verdicts = {
            gate.judge('raft', COUNTER, name).failure().verdict
            for name in _drawn(20, 100)
        }
        assert verdicts == {Verdict.NOT_RUN}

    def test_other_flows_are_not_held_back(self) -> None:
        """A level counts for its tenant and class alone."""
        gate = entry_gate(manual_clock(ManualTime()))
        gate.learn(_told('vm-1', 0.1))
        assert gate.level('raft', AUDIT) == 1

    def test_forgets_what_is_old_or_over(self) -> None:
        """A level ends when its home takes all, or is not heard again."""
        time = ManualTime()
        gate = entry_gate(manual_clock(time))
        gate.learn(_told('vm-1', 0.1))
        gate.learn(_told('vm-2', 0.3))
        gate.learn(_told('vm-1', 1))
        assert gate.level('raft', COUNTER) == pytest.approx(0.3)
        time.advance(1001)
        assert gate.level('raft', COUNTER) == 1


class TestLevel:
    """What a home says that it takes."""

    @pytest.mark.parametrize('weight', [1, 5])
    def test_falls_under_overload_and_recovers(self, weight: float) -> None:
        """Ten times the capacity gives a tenth, however much roots refuse."""
        shard = rig()
        warm(shard, took_ms=100)
        assert shard.home.level(COUNTER) == 1
        running = []
        for number in range(800):
            shard.time.advance(5 / 3)
            name = f'request-{number}'
            if draw(name) * weight >= 1:
                continue
            offered = shard.offer(
                within_ms=1200,
                request_id=name,
                weight=weight,
            )
            running.extend((shard.time.at_ms, send) for send in sends(offered))
            while running and shard.time.at_ms - running[0][0] >= 100:
                _, done = running.pop(0)
                started = sends(shard.home.on_reply(done.attempt))
                running.extend((shard.time.at_ms, send) for send in started)
        assert shard.home.level(COUNTER) == pytest.approx(0.1, abs=0.05)
        assert shard.home.level(AUDIT) == 1
        shard.time.advance(1000)
        assert shard.home.level(COUNTER) == 1
        assert not refusals(shard.offer(within_ms=9000))
