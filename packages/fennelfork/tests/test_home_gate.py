"""Admission at root daemons, and the levels of home daemons."""

import pytest
from core_builders_home import AUDIT, COUNTER, refusals, rig, sends, warm
from returns.pipeline import is_successful

from fennelfork import ManualTime, Verdict, manual_clock
from fennelfork.home import AdmissionLevel, EntryGate, entry_gate
from fennelfork.shares import hash_fraction

_NAMES = [f'request-{number}' for number in range(200)]


def _level_of(home: str, level: float) -> AdmissionLevel:
    return AdmissionLevel(front='raft', flow=COUNTER, home=home, level=level)


def _admitted(gate: EntryGate) -> set[str]:
    return {
        name
        for name in _NAMES
        if is_successful(gate.admit('raft', COUNTER, name))
    }


def _in_hash_range(lo: int, hi: int) -> set[str]:
    """Return the requests whose hash fraction, in percent, is in range."""
    return {
        name for name in _NAMES if lo <= int(hash_fraction(name) * 100) < hi
    }


class TestEntryGate:
    """Admission by the reported levels."""

    def test_applies_lowest_level(self) -> None:
        """Admits what all home daemons admit, and refuses as not run."""
        gate = entry_gate(manual_clock(ManualTime()))
        assert len(_admitted(gate)) == 200
        gate.record_level(_level_of('vm-1', 0.5))
        gate.record_level(_level_of('vm-2', 0.2))
        assert _admitted(gate) == _in_hash_range(0, 20)
        verdicts = {
            gate.admit('raft', COUNTER, name).failure().verdict
            for name in _in_hash_range(20, 100)
        }
        assert verdicts == {Verdict.NOT_RUN}

    def test_other_flows_are_not_limited(self) -> None:
        """A level applies only to its tenant and traffic class."""
        gate = entry_gate(manual_clock(ManualTime()))
        gate.record_level(_level_of('vm-1', 0.1))
        assert gate.level('raft', AUDIT) == 1

    def test_levels_expire(self) -> None:
        """A level ends when it is 1 or was not reported for a second."""
        time = ManualTime()
        gate = entry_gate(manual_clock(time))
        gate.record_level(_level_of('vm-1', 0.1))
        gate.record_level(_level_of('vm-2', 0.3))
        gate.record_level(_level_of('vm-1', 1))
        assert gate.level('raft', COUNTER) == pytest.approx(0.3)
        time.advance(1001)
        assert gate.level('raft', COUNTER) == 1


class TestLevel:
    """Admission level of a home daemon."""

    @pytest.mark.parametrize('weight', [1, 5])
    def test_falls_under_overload_and_recovers(self, weight: float) -> None:
        """Tenfold load gives a level of 0.1, regardless of root admission."""
        shard = rig()
        warm(shard, took_ms=100)
        assert shard.home.level(COUNTER) == 1
        running = []
        for number in range(800):
            shard.time.advance(5 / 3)
            name = f'request-{number}'
            if hash_fraction(name) * weight >= 1:
                continue
            offered = shard.submit(
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
        assert not refusals(shard.submit(within_ms=9000))
