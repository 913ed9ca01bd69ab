"""Requests that end servers, at one daemon and in what it tells others."""

import json
import random
from typing import Any

from daemon_builders_routes import AWAY, Following, ask, server
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
from fennelfork_daemon.routes import SuspicionFact, SuspicionGoneFact
from fennelfork_daemon.routes._guard import RequestGuard
from fennelfork_daemon.routes._metrics import route_metrics
from fennelfork_daemon.routes._operator_face import operator_face
from fennelfork_daemon.routes._request_reporter import RequestReporter
from fennelfork_daemon.routes._suspicion_teller import SuspicionTeller

_ASK = ask()
_NAME = _ASK.fingerprint


def held(status: RequestStatus, **changes: Any) -> SuspicionFact:
    """Build what another daemon told of the request."""
    ends = tuple(
        ServerCrash(run=f'{name}@1', service='archive', alone=True)
        for name in 'abc'
    )
    fields = {'crashes': ends, 'isolated_crashes': 2, **changes}
    record = SuspicionRecord(
        fingerprint=_NAME,
        status=status,
        last_crash_ms=int(wall_clock().now_ms()),
        **fields,
    )
    return SuspicionFact(record=record, revision=41)


def send(name: str, *, alone: bool = False) -> Send:
    """Build a copy of the request that went to a server."""
    return Send(
        attempt=1,
        server=server(name),
        repeat=False,
        sent_ms=0,
        alone=alone,
    )


class Guarded:
    """A guard with what it needs."""

    def setup_method(self) -> None:
        """Begin with a daemon that follows a store."""
        self.following = Following()
        self.following.take_list()
        self.store = self.following.store
        self.quarantine = self.following.board.quarantine
        clock = manual_clock(self.following.time)
        self.lease: int | None = 7
        self.teller = SuspicionTeller(
            exchange=self.quarantine.exchange,
            store=self.store,
            lease=lambda: self.lease,
            pace=store_polling(self.following.board.fleet, 3000),
            fleet=self.following.board.fleet,
            clock=clock,
            rng=random.Random(1),
        )
        reporter = self.following.reporter
        self.guard = RequestGuard(
            quarantine=self.quarantine,
            store=self.store,
            teller=self.teller,
            requests=RequestReporter(
                log=self.following.decisions,
                clock=clock,
                metrics=route_metrics(),
            ),
            judgements=reporter,
        )

    def told(self) -> list[SuspicionUpdates]:
        """Give what the store was told."""
        return [call[1] for call in self.store.calls if call[0] == 'tell']


class TestAdmission(Guarded):
    """Which requests go to servers, and to which first."""

    def test_most(self) -> None:
        """Nothing is known of most requests."""
        assert self.guard.admit(_NAME).unwrap() == frozenset()

    def test_suspected(self) -> None:
        """Those whose servers ended are risked first."""
        self.guard.note_end(send('a'), _ASK)
        assert self.guard.admit(_NAME).unwrap() == {'archive'}

    def test_strongly_suspected(self) -> None:
        """One that a server ended under alone is tried by one daemon only."""
        self.following.change(held(RequestStatus.SUSPECTED, isolated_crashes=1))
        self.store.claims = [Success(True), Success(False), Bad(AWAY)]
        assert self.guard.admit(_NAME).unwrap() == {'archive'}
        for _ in range(2):
            failure = self.guard.admit(_NAME).failure()
            assert failure.verdict is Verdict.NOT_RUN
            assert failure.retry_after_ms == 500
        claims = [call for call in self.store.calls if call[0] == 'claim']
        assert {call[2] for call in claims} == {41}

    def test_not_told_yet(self) -> None:
        """Nor here while the store does not hold what this daemon saw."""
        self.guard.note_end(send('a'), _ASK)
        self.guard.note_end(send('b', alone=True), _ASK)
        assert not is_successful(self.guard.admit(_NAME))
        assert not self.store.claims

    def test_quarantined(self) -> None:
        """It is refused at once, and nothing of it has run."""
        self.following.change(held(RequestStatus.QUARANTINED))
        failure = self.guard.admit(_NAME).failure()
        assert failure.code is FailureCode.QUARANTINED
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.retry_after_ms == 30_000
        assert 'a@1' in failure.detail

    def test_released(self) -> None:
        """Another daemon found out that it ends nobody."""
        self.following.change(held(RequestStatus.QUARANTINED))
        self.following.change(held(RequestStatus.RELEASED))
        assert self.guard.admit(_NAME).unwrap() == frozenset()

    def test_removed(self) -> None:
        """So does an entry that is gone."""
        self.following.change(held(RequestStatus.SUSPECTED, isolated_crashes=1))
        self.following.change(SuspicionGoneFact(fingerprint=_NAME))
        assert self.guard.admit(_NAME).unwrap() == frozenset()


class TestTrial(Guarded):
    """One more send, by one daemon."""

    def setup_method(self) -> None:
        """Put the request into quarantine, long enough ago."""
        super().setup_method()
        self.following.change(held(RequestStatus.QUARANTINED))
        self.following.time.advance(31_000)

    def test_claimed(self) -> None:
        """Whoever gets the claim sends it, once."""
        self.store.claims = [Success(True)]
        assert self.guard.admit(_NAME).unwrap() == {'archive'}
        kind, record, revision = self.store.calls[-1]
        assert (kind, revision) == ('claim', 41)
        assert record.trials == 1
        assert not is_successful(self.guard.admit(_NAME))

    def test_claimed_by_another(self) -> None:
        """Nobody else does."""
        self.store.claims = [Success(False)]
        assert not is_successful(self.guard.admit(_NAME))

    def test_store_away(self) -> None:
        """Nor anybody at all while nobody can tell the others; then one may."""
        self.store.claims = [Bad(AWAY), Success(True)]
        assert not is_successful(self.guard.admit(_NAME))
        assert is_successful(self.guard.admit(_NAME))

    def test_answered(self) -> None:
        """An answer lets it through, and the store is told."""
        self.guard.note_answer(send('d'), _ASK)
        assert self.guard.admit(_NAME).unwrap() == frozenset()
        self.teller.step()
        news = self.told()[0]
        assert [one.status for one in news.records] == [RequestStatus.RELEASED]


class TestTelling(Guarded):
    """What other daemons hear."""

    def test_one_moment(self) -> None:
        """An end is told, and its end forgotten by all once it is answered."""
        self.guard.note_end(send('a'), _ASK)
        self.teller.step()
        self.guard.note_answer(send('b'), _ASK)
        self.teller.step()
        first, second = self.told()
        assert [one.status for one in first.records] == [
            RequestStatus.SUSPECTED
        ]
        assert second.removed == (_NAME,)

    def test_many_servers_crash(self) -> None:
        """All daemons together tell of few requests that were under way."""
        self.following.board.fleet.record_size(16)
        for number in range(100):
            self.guard.note_end(send('a'), ask(target=f'/rafts/{number}'))
        self.guard.note_end(send('b'), _ASK)
        self.guard.note_end(send('c', alone=True), _ASK)
        self.teller.step()
        news = self.told()[0]
        weak = [one for one in news.records if not one.is_durable]
        assert len(weak) in {4, 5}
        assert _NAME in {one.fingerprint for one in news.records}
        # What was not told of needs no word when it is cleared.
        self.guard.note_answer(send('d'), ask(target='/rafts/99'))
        self.teller.step()
        assert len(self.told()) == 1

    def test_store_refuses(self) -> None:
        """What the store did not take is told again."""
        self.guard.note_end(send('a'), _ASK)
        self.store.told = [Bad(AWAY), Success(False)]
        assert not self.teller.step()
        assert not self.teller.step()
        assert self.teller.step()
        assert len(self.told()) == 3
        assert self.teller.step()
        assert len(self.told()) == 3

    def test_not_registered(self) -> None:
        """A daemon without a lease waits for one."""
        self.lease = None
        self.guard.note_end(send('a'), _ASK)
        assert not self.teller.step()
        self.lease = 8
        assert self.teller.step()
        assert len(self.told()) == 1

    def test_store_forgot(self) -> None:
        """A listing that lacks what lasts is made up for."""
        known = held(RequestStatus.QUARANTINED)
        self.following.change(known)
        self.following.follower.forget_history()
        self.following.take_list()
        self.teller.step()
        assert [news.records for news in self.told()] == [(known.record,)]

    def test_lines(self) -> None:
        """Each end and each change of standing has its line."""
        self.guard.note_end(send('a'), _ASK)
        for name in 'bcd':
            self.guard.note_end(send(name, alone=True), _ASK)
            self.following.time.advance(2000)
        self.guard.release(_NAME)
        ended = self.following.lines('server_ended')
        assert [line['alone'] for line in ended] == [False, True, True, True]
        judged = self.following.lines('request_judged')
        assert [(line['standing'], line['by']) for line in judged] == [
            ('suspected', 'own'),
            ('quarantined', 'own'),
            ('released', 'operator'),
        ]
        assert judged[1]['ends'] == [
            'archive a@0',
            'archive b@0',
            'archive c@0',
        ]


class TestOperatorFace(Guarded):
    """What operators see, and how they let a request through."""

    def setup_method(self) -> None:
        """Put the request into quarantine."""
        super().setup_method()
        self.following.change(held(RequestStatus.QUARANTINED))
        self.face = operator_face(
            route_metrics(),
            self.quarantine,
            self.guard,
        )

    def test_list(self) -> None:
        """All that is held, with its grounds."""
        shown = json.loads(self._call('GET', '/quarantine')[1])
        found = shown['requests'][0]
        assert found['fingerprint'] == _NAME
        assert found['standing'] == 'quarantined'
        assert [end['run'] for end in found['ends']] == ['a@1', 'b@1', 'c@1']

    def test_release(self) -> None:
        """It goes to servers again, and other daemons are told."""
        assert self._call('DELETE', f'/quarantine/{_NAME}')[0] == 204
        assert is_successful(self.guard.admit(_NAME))
        assert self._call('DELETE', f'/quarantine/{_NAME}')[0] == 404

    def _call(self, method: str, path: str) -> tuple[int, bytes]:
        statuses: list[int] = []
        body = self.face(
            {
                'REQUEST_METHOD': method,
                'RAW_PATH_INFO': path,
                'QUERY_STRING': '',
            },
            lambda line, _headers: statuses.append(int(line.split()[0])),
        )
        return statuses[0], b''.join(body)
