"""Tests of the client of the key-value service."""

from typing import Any

import pytest
from daemon_builders_config import (
    CLOSE_CONNECTION,
    NO_RESPONSE,
    ScriptedResponse,
    build_config_key,
    key_value_client,
    read_response,
    scripted_platform,
    unused_address,
    write_response,
)
from daemon_builders_endings import Ending, cutting_server, truncations
from daemon_builders_prepared import prepared_server
from daemon_builders_response_forms import CHUNK_FORMS, MALFORMED, with_content

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
    """Verdicts of failed requests."""

    @pytest.mark.parametrize(
        ('response', 'verdict'),
        [
            (ScriptedResponse(body={}, status=429), Verdict.NOT_RUN),
            (ScriptedResponse(body={}, status=503), Verdict.MAY_HAVE_RUN),
            (ScriptedResponse(body=b'not JSON'), Verdict.MAY_HAVE_RUN),
            (ScriptedResponse(body=b'[' * 100_000), Verdict.MAY_HAVE_RUN),
            (ScriptedResponse(body=b'x' * 4_200_000), Verdict.MAY_HAVE_RUN),
            (ScriptedResponse(body=[]), Verdict.MAY_HAVE_RUN),
            (CLOSE_CONNECTION, Verdict.MAY_HAVE_RUN),
            (NO_RESPONSE, Verdict.MAY_HAVE_RUN),
        ],
    )
    def test_failure_has_correct_verdict(
        self, response: Any, verdict: Verdict
    ) -> None:
        """Guards against `NOT_RUN` without a refusal by the platform."""
        with scripted_platform(response) as platform:
            failure = (
                build_config_key(platform).compare_and_swap(_WRITE).failure()
            )
        assert failure.verdict is verdict

    @pytest.mark.parametrize('ending', [Ending.CLOSE, Ending.HALF_CLOSE])
    @pytest.mark.parametrize('status', [b'200 OK', b'400 Bad Request'])
    def test_truncated_response_may_have_run(
        self, status: bytes, ending: Ending
    ) -> None:
        """Guards against a refusal that is believed before it is complete."""
        chunked = b'Transfer-Encoding: chunked\r\n\r\n02\r\n{}\r\n00\r\n\r\n'
        whole = b'HTTP/1.1 %s\r\n%s' % (status, chunked)
        with cutting_server() as server:
            server.ending = ending
            client = key_value_client(str(server.address))
            for truncated in truncations(whole):
                server.response = truncated
                failure = client.call('/', {}).failure()
                assert failure.verdict is Verdict.MAY_HAVE_RUN, server.response

    @pytest.mark.parametrize('status', [b'200', b'400'])
    @pytest.mark.parametrize('form', sorted(MALFORMED))
    def test_malformed_response_may_have_run(
        self, form: str, status: bytes
    ) -> None:
        """Guards against the status of a malformed response that is believed."""
        with prepared_server(
            with_content(MALFORMED[form], status, b'{}')
        ) as server:
            failure = (
                key_value_client(str(server.address))
                .call('/v3/call', {})
                .failure()
            )
        assert failure.verdict is Verdict.MAY_HAVE_RUN
        assert 'MalformedMessage' in failure.detail

    def test_refused_connection_is_not_run(self) -> None:
        """A request over a refused connection was not sent."""
        failure = key_value_client(unused_address()).call('/', {}).failure()
        assert failure.verdict is Verdict.NOT_RUN

    def test_request_above_rate_limit_is_not_sent(self) -> None:
        """The failure of a request above the rate limit has a retry delay."""
        budget = token_bucket(manual_clock(ManualTime()), 1, 1)
        with scripted_platform(ScriptedResponse(body={})) as platform:
            client = key_value_client(platform.address, budget=budget)
            client.call('/first', {})
            failure = client.call('/second', {}).failure()
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.retry_after_ms
        assert platform.paths == ['/first']


class TestConfigKey:
    """Reads and conditional writes of the configuration key."""

    def test_reads_value_and_revision(self) -> None:
        """A read returns the document and the revision of the last change."""
        stored = StoredDocument(raw='{"version":1}', revision=5)
        with scripted_platform(read_response(stored)) as platform:
            assert build_config_key(platform).read().unwrap() == stored

    def test_absent_key_has_revision_zero(self) -> None:
        """A read of an absent key is not a failure."""
        with scripted_platform(
            ScriptedResponse(body={'header': {}})
        ) as platform:
            stored = build_config_key(platform).read().unwrap()
        assert stored == StoredDocument(raw=None, revision=0)

    @pytest.mark.parametrize('succeeded', [True, False])
    def test_compare_and_swap_reports_success(self, succeeded: bool) -> None:
        """The result of the comparison in the platform is returned."""
        with scripted_platform(write_response(succeeded=succeeded)) as platform:
            assert (
                build_config_key(platform).compare_and_swap(_WRITE).unwrap()
                is succeeded
            )

    def test_next_endpoint_is_used_after_a_failure(self) -> None:
        """The client switches to the next endpoint after a failure."""
        with scripted_platform(ScriptedResponse(body={})) as platform:
            client = key_value_client(unused_address(), platform.address)
            client.call('/lost', {})
            assert client.call('/found', {}).unwrap() == {}
        assert platform.paths == ['/found']


class TestCost:
    """Counters of the bytes of requests and responses."""

    def test_counts_request_and_response_bodies(self) -> None:
        """Each body is counted for the channel of the platform."""
        costs: list[ControlCost] = []
        with scripted_platform(ScriptedResponse(body={'a': 1})) as platform:
            client = key_value_client(platform.address, costs=costs)
            client.call('/', {'key': 'x'})
        assert {cost.channel for cost in costs} == {Channel.PLATFORM}
        assert [cost.sent for cost in costs] == [len('{"key": "x"}'), 0]
        assert [cost.received for cost in costs] == [0, len('{"a": 1}')]


class TestWatch:
    """Stream of the changes of a key."""

    def test_cancelled_watch_raises(self) -> None:
        """Guards against a cancelled watch that looks like a normal end."""
        line = b'{"result": {"canceled": true}}\n'
        with scripted_platform(ScriptedResponse(body=line)) as platform:
            with pytest.raises(ValueError, match='cancelled the watch'):
                list(build_config_key(platform).watch(3))

    @pytest.mark.parametrize(
        'response',
        [CLOSE_CONNECTION, ScriptedResponse(body={}, status=429)],
    )
    def test_refused_watch_raises(self, response: Any) -> None:
        """A refused or closed watch raises `OSError`."""
        with scripted_platform(response) as platform:
            with pytest.raises(OSError, match='.'):
                list(build_config_key(platform).watch(3))

    @pytest.mark.parametrize('form', sorted(CHUNK_FORMS))
    def test_malformed_chunks_end_the_watch(self, form: str) -> None:
        """Guards against lines of a stream with malformed chunks."""
        with prepared_server(CHUNK_FORMS[form]) as server:
            with pytest.raises(OSError, match='MalformedMessage'):
                list(
                    key_value_client(str(server.address)).stream(
                        '/v3/watch', {}
                    )
                )

    @pytest.mark.parametrize(('known', 'start'), [(0, None), (7, '8')])
    def test_watch_starts_after_known_revision(
        self,
        known: int,
        start: str | None,
    ) -> None:
        """A watch without a known revision does not request the history."""
        request = watch_body('/config', known)['create_request']
        assert request.get('start_revision') == start
