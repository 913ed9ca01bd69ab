"""Counter of the calls of the store.

Guards against calls that operators cannot attribute: listings, watches and
retries of a fleet that restarts, and calls that the store refuses.
"""

from collections.abc import Iterator
from typing import Any

import eventlet
import pytest
import structlog
from daemon_builders_routes import (
    FollowingDaemon,
    member,
    table,
)
from daemon_builders_store import NO_RESPONSE, STORE_UNAVAILABLE
from returns.result import Failure as Bad
from returns.result import Success

from fennelfork import FailureCode, may_have_run
from fennelfork.routes import WatchTimeouts
from fennelfork_daemon.routes import (
    ConfigUpdate,
    HistoryCompacted,
    MemberUpdate,
    ServerRemoved,
)
from fennelfork_daemon.routes._counted_store import CountedStore, counted_store

_LOST = may_have_run(FailureCode.PLATFORM, 'no response')
_TIMEOUTS = WatchTimeouts(wait_ms=500, response_ms=300)


class _Counts:
    """Number of calls by reason and outcome."""

    def __init__(self) -> None:
        """Start without calls."""
        self.by_label: dict[tuple[str, str], int] = {}

    def count_store_call(self, reason: str, outcome: str, times: int) -> None:
        """Count calls."""
        label = (reason, outcome)
        self.by_label[label] = self.by_label.get(label, 0) + times


@pytest.fixture
def following() -> Iterator[FollowingDaemon]:
    """Yield a daemon that passes on updates and has read the store once."""
    new_daemon = FollowingDaemon(name='vm-1')
    new_daemon.apply_listing(ConfigUpdate(table=table(3)))
    yield new_daemon
    structlog.reset_defaults()


@pytest.fixture
def counts() -> _Counts:
    """Yield empty counts."""
    return _Counts()


@pytest.fixture
def counted(following: FollowingDaemon, counts: _Counts) -> CountedStore:
    """Yield the store of the daemon with a counter."""
    return counted_store(following.store, counts, following.blackboard)


def test_listings(
    following: FollowingDaemon, counted: CountedStore, counts: _Counts
) -> None:
    """A stale listing costs less, so it is counted apart."""
    following.store.listings = [(), ()]
    for may_be_stale in (True, False, False):
        counted.list_all(400, may_be_stale=may_be_stale)
    assert counts.by_label == {
        ('stale_listing', 'ok'): 1,
        ('listing', 'ok'): 1,
        ('listing', 'refused'): 1,
    }


@pytest.mark.parametrize(
    ('others', 'reason'),
    [
        ((), 'watch_alone'),
        (('vm-2', ''), 'watch_as_reader'),
        (('vm-2', '10.0.0.9:7000'), 'watch_without_relay'),
    ],
)
def test_reason_of_watch(
    following: FollowingDaemon,
    counted: CountedStore,
    counts: _Counts,
    others: tuple[str, ...],
    reason: str,
) -> None:
    """The reason tells whether another daemon should have read the store."""
    if others:
        other = MemberUpdate(member=member(others[0], peer=others[1]))
        following.apply_updates(other)
    following.store.watch_results = [
        (ServerRemoved(instance='i-1'),),
        HistoryCompacted(),
    ]
    for _ in range(3):
        counted.watch(5, _TIMEOUTS)
    assert counts.by_label == {
        (reason, 'ok'): 1,
        (reason, 'compacted'): 1,
        (reason, 'refused'): 1,
    }


@pytest.mark.parametrize(
    ('result', 'outcome'),
    [
        (Success(True), 'ok'),
        (Success(False), 'outdated'),
        (Bad(STORE_UNAVAILABLE), 'refused'),
        (Bad(_LOST), 'lost'),
    ],
)
def test_renewals(
    following: FollowingDaemon,
    counted: CountedStore,
    counts: _Counts,
    result: Any,
    outcome: str,
) -> None:
    """An expired lease and a call without a response are counted apart."""
    following.store.renewals = [result]
    assert counted.renew(1) is result
    assert counts.by_label == {('renewal', outcome): 1}


def test_abandoned_watch(
    following: FollowingDaemon, counted: CountedStore, counts: _Counts
) -> None:
    """A watch that is abandoned after an outage was a call as well."""
    following.store.watch_results = [NO_RESPONSE]
    thread = eventlet.spawn(counted.watch, 5, _TIMEOUTS)
    eventlet.sleep(0)
    thread.kill()
    assert counts.by_label == {('watch_alone', 'abandoned'): 1}


def test_writes(counted: CountedStore, counts: _Counts) -> None:
    """The two writes of a registration and its end are counted."""
    counted.open_lease(3000)
    counted.register(member('vm-1'), 1)
    counted.revoke_lease(1)
    assert set(counts.by_label) == {
        ('lease', 'ok'),
        ('registration', 'ok'),
        ('end_of_lease', 'ok'),
    }


def test_outage_in_log(following: FollowingDaemon) -> None:
    """The line about the end of an outage tells how many calls failed."""
    for _ in range(3):
        following.follower.step()
    following.apply_updates()
    lines = following.lines('store_regained')
    assert [line['failed_calls'] for line in lines] == [3]
    following.follower.step()
    following.apply_updates()
    assert following.lines('store_regained')[-1]['failed_calls'] == 1
