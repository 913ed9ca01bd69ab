"""Calls of the key-value service, with what is known of their effect."""

from typing import Any

import pytest
from daemon_builders_config import (
    CUT,
    SILENT,
    Scripted,
    key_value_calls,
    scripted_key,
    scripted_platform,
    shown_document,
    swapped,
    unused_address,
)

from fennelfork import ManualTime, Verdict, manual_clock
from fennelfork.config import (
    PatchRecord,
    PreparedWrite,
    StoredDocument,
    token_bucket,
)
from fennelfork_daemon.kv._codec import watch_body
from fennelfork_daemon.metrics._metrics import Channel, ControlCost

_WRITE = PreparedWrite(
    raw='{"version":2}',
    revision=5,
    record=PatchRecord(id='p', version=2, author='a', at_ms=0, paths=()),
)


class TestVerdict:
    """Whether a call that failed may have had an effect."""

    @pytest.mark.parametrize(
        ('scripted', 'verdict'),
        [
            (Scripted(body={}, status=429), Verdict.NOT_RUN),
            (Scripted(body={}, status=503), Verdict.MAY_HAVE_RUN),
            (Scripted(body=b'not JSON'), Verdict.MAY_HAVE_RUN),
            (Scripted(body=b'x' * 4_200_000), Verdict.MAY_HAVE_RUN),
            (Scripted(body=[]), Verdict.MAY_HAVE_RUN),
            (CUT, Verdict.MAY_HAVE_RUN),
            (SILENT, Verdict.MAY_HAVE_RUN),
        ],
    )
    def test_not_run_needs_proof(self, scripted: Any, verdict: Verdict) -> None:
        """Only the platform's own refusal proves that a write was not run."""
        with scripted_platform(scripted) as platform:
            failure = scripted_key(platform).swap(_WRITE).failure()
        assert failure.verdict is verdict

    def test_refused_connection_was_not_run(self) -> None:
        """Nothing was sent where nobody listens."""
        failure = key_value_calls(unused_address()).call('/', {}).failure()
        assert failure.verdict is Verdict.NOT_RUN

    def test_call_above_the_budget_is_not_sent(self) -> None:
        """An empty budget keeps the call back and says when to come again."""
        budget = token_bucket(manual_clock(ManualTime()), 1, 1)
        with scripted_platform(Scripted(body={})) as platform:
            calls = key_value_calls(platform.address, budget=budget)
            calls.call('/first', {})
            failure = calls.call('/second', {}).failure()
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.retry_after_ms
        assert platform.paths == ['/first']


class TestConfigKey:
    """Reading and swapping the configuration key."""

    def test_reads_value_and_revision(self) -> None:
        """A read gives the text and the revision of its last change."""
        stored = StoredDocument(raw='{"version":1}', revision=5)
        with scripted_platform(shown_document(stored)) as platform:
            assert scripted_key(platform).read().unwrap() == stored

    def test_absent_key_has_revision_zero(self) -> None:
        """A key that is not there reads as such, not as a failure."""
        with scripted_platform(Scripted(body={'header': {}})) as platform:
            shown = scripted_key(platform).read().unwrap()
        assert shown == StoredDocument(raw=None, revision=0)

    @pytest.mark.parametrize('succeeded', [True, False])
    def test_swap_tells_whether_it_took_place(self, succeeded: bool) -> None:
        """The platform's word on the comparison is handed on."""
        with scripted_platform(swapped(succeeded=succeeded)) as platform:
            assert scripted_key(platform).swap(_WRITE).unwrap() is succeeded

    def test_next_endpoint_is_used_after_a_failure(self) -> None:
        """One endpoint that fails is left for the next one."""
        with scripted_platform(Scripted(body={})) as platform:
            calls = key_value_calls(unused_address(), platform.address)
            calls.call('/lost', {})
            assert calls.call('/found', {}).unwrap() == {}
        assert platform.paths == ['/found']


class TestCost:
    """What the calls cost, as it is counted."""

    def test_counts_bodies_both_ways(self) -> None:
        """Each body sent and received is counted towards the platform."""
        costs: list[ControlCost] = []
        with scripted_platform(Scripted(body={'a': 1})) as platform:
            calls = key_value_calls(platform.address, costs=costs)
            calls.call('/', {'key': 'x'})
        assert {cost.channel for cost in costs} == {Channel.PLATFORM}
        assert [cost.sent for cost in costs] == [len('{"key": "x"}'), 0]
        assert [cost.received for cost in costs] == [0, len('{"a": 1}')]


class TestWatch:
    """The stream of changes."""

    def test_ends_with_an_error_when_cancelled(self) -> None:
        """A watch that the platform cancels is read afresh, not trusted."""
        line = b'{"result": {"canceled": true}}\n'
        with scripted_platform(Scripted(body=line)) as platform:
            with pytest.raises(ValueError, match='ended the watch'):
                list(scripted_key(platform).changes(3))

    @pytest.mark.parametrize(
        'scripted',
        [CUT, Scripted(body={}, status=429)],
    )
    def test_cannot_be_opened(self, scripted: Any) -> None:
        """A watch that is refused or cut is an error of the connection."""
        with scripted_platform(scripted) as platform:
            with pytest.raises(OSError, match='.'):
                list(scripted_key(platform).changes(3))

    @pytest.mark.parametrize(('known', 'start'), [(0, None), (7, '8')])
    def test_of_an_absent_key_asks_for_no_past(
        self,
        known: int,
        start: str | None,
    ) -> None:
        """Only a known revision asks for what came after it."""
        request = watch_body('/config', known)['create_request']
        assert request.get('start_revision') == start
