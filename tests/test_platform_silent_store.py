"""A store that stops answering without a word, on real processes.

Seen: a daemon served routes of a version that was 13 s old, and refused those
of its successor. It came about while the store answered nobody for 7 s: the
daemons that were started again meanwhile were right, the one that ran all the
while was not. Cause: its watch waited when the silence began and was waited for
on and on, as nothing bounds the age of what a watch tells but the half minute
it may wait. Proof: its log has the loss and the return of the store, told by
renewals of its lease, and no configuration after; `test_change_after` fails on
that code.

The same cause without any other call that fails: `test_watches_alone` and
`test_watches_alone_twice`. And in a daemon that makes no other call, as it has
read nothing yet: `test_start_meanwhile`.
"""

import time
from typing import Final

import pytest

from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_platform_bench._events import await_ready
from fennelfork_platform_bench._fleet import ZONES, DayFleet
from fennelfork_platform_bench._state import Silence

# What the settings of the stand-in's fleet allow until a change is in force.
_IN_FORCE_S: Final = 3.0
# Two renewals of the lease are missed, and more.
_LONG_S: Final = 3.0
# Shorter than the time between two renewals.
_SHORT_S: Final = 0.3
# The fourth read of a daemon that starts in it is under way at its end.
_START_S: Final = 8.0
# A read that is given up, a pause, and one that is answered.
_START_AFTER_S: Final = 3.0
_NAME: Final = 'vm-0'


@pytest.fixture
def fleet(processes: Rig) -> DayFleet:
    """Give a store with a first version."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    made = DayFleet(rig=processes, store=store.await_ready().ready['address'])
    made.configure(1)
    return made


@pytest.fixture
def serving(fleet: DayFleet) -> DayFleet:
    """Give one daemon beside it, whose watch waits for changes."""
    fleet.start_daemon(_NAME, ZONES[0])
    await_ready(fleet, _NAME)
    # Its registration, and the pause that gathers changes after it.
    time.sleep(1)
    return fleet


@pytest.mark.process
class TestSilentStore:
    """What a daemon serves is never older than the operators allow."""

    def test_change_after(self, serving: DayFleet) -> None:
        """A change after a long silence is in force in time."""
        _fall_silent(serving, Silence.ALL, _LONG_S)
        _change_in_time(serving, 2)

    def test_watches_alone(self, serving: DayFleet) -> None:
        """So is one when the watch alone was forgotten, by a store that is up.

        Nothing else tells the daemon: its renewals are answered all the while.
        """
        _fall_silent(serving, Silence.WATCHES, _SHORT_S)
        _change_in_time(serving, 2)

    def test_watches_alone_twice(self, serving: DayFleet) -> None:
        """Time and again."""
        for version in (2, 3):
            _fall_silent(serving, Silence.WATCHES, _SHORT_S)
            _change_in_time(serving, version)
            time.sleep(1)

    def test_start_meanwhile(self, fleet: DayFleet) -> None:
        """A daemon that started in a silence serves soon after its end."""
        fleet.store_silent(Silence.ALL)
        fleet.start_daemon(_NAME, ZONES[0])
        time.sleep(_START_S)
        fleet.store_silent(Silence.NONE)
        awaited = 'a daemon that started in the silence'
        wait_until(lambda: fleet.is_ready(_NAME), _START_AFTER_S, awaited)


def _fall_silent(fleet: DayFleet, silence: Silence, for_s: float) -> None:
    fleet.store_silent(silence)
    time.sleep(for_s)
    fleet.store_silent(Silence.NONE)


def _change_in_time(fleet: DayFleet, version: int) -> None:
    fleet.configure(version)
    awaited = f'version {version} to be in force'
    wait_until(lambda: fleet.serves(_NAME, version), _IN_FORCE_S, awaited)
