"""Tests for poison requests: admission, trials, publishing, operator API."""

import json
import random
from typing import Any

from daemon_builders_routes import (
    FollowingDaemon,
    caller_request,
    server,
)
from daemon_builders_store import STORE_UNAVAILABLE
from returns.pipeline import is_successful
from returns.result import Failure as Bad
from returns.result import Success

from fennelfork import FailureCode, Verdict, manual_clock, wall_clock
from fennelfork.routes import (
    RequestStatus,
    Send,
    ServerCrash,
    SuspicionRecord,
    SuspicionUpdates,
    store_polling,
)
from fennelfork_daemon.routes import SuspicionRemoved, SuspicionUpdate
from fennelfork_daemon.routes._guard import RequestGuard
from fennelfork_daemon.routes._metrics import route_metrics
from fennelfork_daemon.routes._operator_api import operator_api
from fennelfork_daemon.routes._request_reporter import RequestReporter
from fennelfork_daemon.routes._suspicion_publisher import SuspicionPublisher

_REQUEST = caller_request()
_FINGERPRINT = _REQUEST.fingerprint


def suspicion_fact(status: RequestStatus, **changes: Any) -> SuspicionUpdate:
    """Build the suspicion that another daemon published for the request."""
    crashes = tuple(
        ServerCrash(run=f'{name}@1', service='archive', alone=True)
        for name in 'abc'
    )
    fields = {'crashes': crashes, 'isolated_crashes': 2, **changes}
    record = SuspicionRecord(
        fingerprint=_FINGERPRINT,
        status=status,
        last_crash_ms=int(wall_clock().now_ms()),
        **fields,
    )
    return SuspicionUpdate(record=record, revision=41)


def send(name: str, *, alone: bool = False) -> Send:
    """Build an attempt of the request at a backend server."""
    return Send(
        attempt=1,
        server=server(name),
        repeat=False,
        sent_ms=0,
        alone=alone,
    )


class GuardTestCase:
    """Base class with a guard and its dependencies."""

    def setup_method(self) -> None:
        """Start with a daemon that has read the store."""
        self.following = FollowingDaemon()
        self.following.apply_listing()
        self.store = self.following.store
        self.quarantine = self.following.blackboard.quarantine
        clock = manual_clock(self.following.time)
        self.lease: int | None = 7
        self.publisher = SuspicionPublisher(
            exchange=self.quarantine.exchange,
            store=self.store,
            lease=lambda: self.lease,
            polling=store_polling(self.following.blackboard.fleet_size, 3000),
            fleet_size=self.following.blackboard.fleet_size,
            clock=clock,
            rng=random.Random(1),
        )
        reporter = self.following.reporter
        self.guard = RequestGuard(
            quarantine=self.quarantine,
            store=self.store,
            publisher=self.publisher,
            request_reporter=RequestReporter(
                log=self.following.decisions,
                clock=clock,
                metrics=route_metrics(),
            ),
            store_reporter=reporter,
        )

    def published(self) -> list[SuspicionUpdates]:
        """Return the updates that were written to the store."""
        return [call[1] for call in self.store.calls if call[0] == 'tell']


class TestAdmission(GuardTestCase):
    """Admission depends on the status of the request."""

    def test_unknown(self) -> None:
        """A request without a suspicion is admitted."""
        assert self.guard.admit(_FINGERPRINT).unwrap() == frozenset()

    def test_suspected(self) -> None:
        """A suspected request is admitted with the services of its crashes."""
        self.guard.record_crash(send('a'), _REQUEST)
        assert self.guard.admit(_FINGERPRINT).unwrap() == {'archive'}

    def test_strongly_suspected(self) -> None:
        """After an isolated crash only one daemon may send the request."""
        self.following.apply_updates(
            suspicion_fact(RequestStatus.SUSPECTED, isolated_crashes=1)
        )
        self.store.claims = [
            Success(True),
            Success(False),
            Bad(STORE_UNAVAILABLE),
        ]
        assert self.guard.admit(_FINGERPRINT).unwrap() == {'archive'}
        for _ in range(2):
            failure = self.guard.admit(_FINGERPRINT).failure()
            assert failure.verdict is Verdict.NOT_RUN
            assert failure.retry_after_ms == 500
        claims = [call for call in self.store.calls if call[0] == 'claim']
        assert {call[2] for call in claims} == {41}

    def test_not_published(self) -> None:
        """The request is refused until the store holds the isolated crash."""
        self.guard.record_crash(send('a'), _REQUEST)
        self.guard.record_crash(send('b', alone=True), _REQUEST)
        assert not is_successful(self.guard.admit(_FINGERPRINT))
        assert not self.store.claims

    def test_quarantined(self) -> None:
        """A quarantined request is refused with the verdict `NOT_RUN`."""
        self.following.apply_updates(suspicion_fact(RequestStatus.QUARANTINED))
        failure = self.guard.admit(_FINGERPRINT).failure()
        assert failure.code is FailureCode.QUARANTINED
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.retry_after_ms == 30_000
        assert 'a@1' in failure.detail

    def test_released(self) -> None:
        """A request that another daemon released is admitted."""
        self.following.apply_updates(suspicion_fact(RequestStatus.QUARANTINED))
        self.following.apply_updates(suspicion_fact(RequestStatus.RELEASED))
        assert self.guard.admit(_FINGERPRINT).unwrap() == frozenset()

    def test_removed(self) -> None:
        """A request whose entry was removed from the store is admitted."""
        self.following.apply_updates(
            suspicion_fact(RequestStatus.SUSPECTED, isolated_crashes=1)
        )
        self.following.apply_updates(SuspicionRemoved(fingerprint=_FINGERPRINT))
        assert self.guard.admit(_FINGERPRINT).unwrap() == frozenset()


class TestTrial(GuardTestCase):
    """Only one daemon sends the trial of a quarantined request."""

    def setup_method(self) -> None:
        """Put the request into quarantine until a trial is due."""
        super().setup_method()
        self.following.apply_updates(suspicion_fact(RequestStatus.QUARANTINED))
        self.following.time.advance(31_000)

    def test_claimed(self) -> None:
        """The daemon that obtains the claim admits one trial."""
        self.store.claims = [Success(True)]
        assert self.guard.admit(_FINGERPRINT).unwrap() == {'archive'}
        kind, record, revision = self.store.calls[-1]
        assert (kind, revision) == ('claim', 41)
        assert record.trials == 1
        assert not is_successful(self.guard.admit(_FINGERPRINT))

    def test_claimed_by_another(self) -> None:
        """A daemon whose claim is denied refuses the request."""
        self.store.claims = [Success(False)]
        assert not is_successful(self.guard.admit(_FINGERPRINT))

    def test_store_unavailable(self) -> None:
        """A trial is sent only after the store is available again."""
        self.store.claims = [Bad(STORE_UNAVAILABLE), Success(True)]
        assert not is_successful(self.guard.admit(_FINGERPRINT))
        assert is_successful(self.guard.admit(_FINGERPRINT))

    def test_restored_store(self) -> None:
        """A trial is claimed at a revision of the current era only."""
        self.store.era.accept(None, 1)
        self.store.era.accept(1, 2)
        assert not is_successful(self.guard.admit(_FINGERPRINT))
        assert self.store.calls[-1][0] != 'claim'
        self.following.apply_listing(suspicion_fact(RequestStatus.QUARANTINED))
        self.store.claims = [Success(True)]
        assert is_successful(self.guard.admit(_FINGERPRINT))

    def test_response(self) -> None:
        """A response releases the request and the release is published."""
        self.guard.record_response(send('d'), _REQUEST)
        assert self.guard.admit(_FINGERPRINT).unwrap() == frozenset()
        self.publisher.step()
        updates = self.published()[0]
        assert [record.status for record in updates.records] == [
            RequestStatus.RELEASED
        ]


class TestPublishing(GuardTestCase):
    """Publishing of suspicions to other daemons."""

    def test_crash_and_response(self) -> None:
        """A crash is published and withdrawn after a response."""
        self.guard.record_crash(send('a'), _REQUEST)
        self.publisher.step()
        self.guard.record_response(send('b'), _REQUEST)
        self.publisher.step()
        first, second = self.published()
        assert [record.status for record in first.records] == [
            RequestStatus.SUSPECTED
        ]
        assert second.removed == (_FINGERPRINT,)

    def test_many_servers_crash(self) -> None:
        """The number of published weak suspicions is limited in the fleet."""
        self.following.blackboard.fleet_size.record(16)
        for number in range(100):
            self.guard.record_crash(
                send('a'), caller_request(target=f'/rafts/{number}')
            )
        self.guard.record_crash(send('b'), _REQUEST)
        self.guard.record_crash(send('c', alone=True), _REQUEST)
        self.publisher.step()
        updates = self.published()[0]
        not_durable = [
            record for record in updates.records if not record.is_durable
        ]
        assert len(not_durable) in {4, 5}
        assert _FINGERPRINT in {
            record.fingerprint for record in updates.records
        }
        # The release of a suspicion that was not published needs no update.
        self.guard.record_response(
            send('d'), caller_request(target='/rafts/99')
        )
        self.publisher.step()
        assert len(self.published()) == 1

    def test_store_refuses(self) -> None:
        """Updates that the store did not accept are written again."""
        self.guard.record_crash(send('a'), _REQUEST)
        self.store.told = [Bad(STORE_UNAVAILABLE), Success(False)]
        assert not self.publisher.step()
        assert not self.publisher.step()
        assert self.publisher.step()
        assert len(self.published()) == 3
        assert self.publisher.step()
        assert len(self.published()) == 3

    def test_not_registered(self) -> None:
        """A daemon without a lease publishes after it obtains a lease."""
        self.lease = None
        self.guard.record_crash(send('a'), _REQUEST)
        assert not self.publisher.step()
        self.lease = 8
        assert self.publisher.step()
        assert len(self.published()) == 1

    def test_store_lost_entry(self) -> None:
        """A durable suspicion that a listing lacks is published again."""
        known = suspicion_fact(RequestStatus.QUARANTINED)
        self.following.apply_updates(known)
        self.following.follower.store_copy.revision = None
        self.following.apply_listing()
        self.publisher.step()
        assert [updates.records for updates in self.published()] == [
            (known.record,)
        ]

    def test_log_events(self) -> None:
        """Each crash and each change of the status is logged."""
        self.guard.record_crash(send('a'), _REQUEST)
        for name in 'bcd':
            self.guard.record_crash(send(name, alone=True), _REQUEST)
            self.following.time.advance(2000)
        self.guard.release(_FINGERPRINT)
        crashes = self.following.lines('server_ended')
        assert [line['alone'] for line in crashes] == [False, True, True, True]
        changes = self.following.lines('request_judged')
        assert [(line['standing'], line['by']) for line in changes] == [
            ('suspected', 'own'),
            ('quarantined', 'own'),
            ('released', 'operator'),
        ]
        assert changes[1]['ends'] == [
            'archive a@0',
            'archive b@0',
            'archive c@0',
        ]


class TestOperatorApi(GuardTestCase):
    """Operators can list and release poison requests."""

    def setup_method(self) -> None:
        """Put the request into quarantine."""
        super().setup_method()
        self.following.apply_updates(suspicion_fact(RequestStatus.QUARANTINED))
        self.api = operator_api(
            route_metrics(),
            self.following.blackboard,
            self.guard,
            self.following.fleet_page,
        )

    def test_list(self) -> None:
        """The list contains the status and the crashes of each request."""
        listing = json.loads(self._call('GET', '/quarantine')[1])
        found = listing['requests'][0]
        assert found['fingerprint'] == _FINGERPRINT
        assert found['standing'] == 'quarantined'
        assert [crash['run'] for crash in found['ends']] == [
            'a@1',
            'b@1',
            'c@1',
        ]

    def test_release(self) -> None:
        """A released request is admitted and can be released only once."""
        assert self._call('DELETE', f'/quarantine/{_FINGERPRINT}')[0] == 204
        assert is_successful(self.guard.admit(_FINGERPRINT))
        assert self._call('DELETE', f'/quarantine/{_FINGERPRINT}')[0] == 404

    def test_workspaces(self) -> None:
        """The page of workspaces is served under its path."""
        status, body = self._call('GET', '/workspaces')
        assert (status, json.loads(body)['workspaces']) == (200, [])

    def _call(self, method: str, path: str) -> tuple[int, bytes]:
        statuses: list[int] = []
        body = self.api(
            {
                'REQUEST_METHOD': method,
                'RAW_PATH_INFO': path,
                'QUERY_STRING': '',
            },
            lambda line, _headers: statuses.append(int(line.split()[0])),
        )
        return statuses[0], b''.join(body)
