"""Tests of reading request bodies."""

import io

import eventlet
import pytest
from daemon_builders_product import wsgi_post

from fennelfork import Verdict
from fennelfork_daemon.http._wsgi_request import BodyLimits, read_json_object

_LIMITS = BodyLimits(body_bytes=64, read_ms=50)


class _UnresponsiveBody(io.BytesIO):
    def read(self, size: int | None = -1) -> bytes:
        eventlet.sleep(60)
        return b''


class _TimedOutBody(io.BytesIO):
    def read(self, size: int | None = -1) -> bytes:
        raise TimeoutError('timed out')


class TestReadJsonObject:
    """JSON object of a request, or a refusal."""

    def test_reads_an_object(self) -> None:
        """A small object is read unchanged."""
        result = read_json_object(wsgi_post(b'{"a": 1}'), _LIMITS)
        assert result.unwrap() == {'a': 1}

    @pytest.mark.parametrize(
        ('body', 'detail'),
        [
            (b'{"a": ', 'not JSON'),
            (b'\xff\xfe', 'not JSON'),
            (b'[' * 64, 'not JSON'),
            (b'[1]', 'not an object'),
            (b'null', 'not an object'),
        ],
    )
    def test_refuses_other_bodies(self, body: bytes, detail: str) -> None:
        """A body that is not a JSON object is refused with 400."""
        refusal = read_json_object(wsgi_post(body), _LIMITS).failure()
        assert detail in refusal.failure.detail
        assert refusal.status == 400
        assert refusal.failure.verdict is Verdict.NOT_RUN
        assert not refusal.close

    @pytest.mark.parametrize(
        ('length', 'status'),
        [(None, 411), ('', 411), ('-1', 400), ('x', 400), ('65', 413)],
    )
    def test_refuses_before_reading(
        self,
        length: str | None,
        status: int,
    ) -> None:
        """An invalid or too large length is refused without reading."""
        environ = wsgi_post(b'{}', CONTENT_LENGTH=length)
        refusal = read_json_object(environ, _LIMITS).failure()
        assert refusal.status == status
        assert refusal.close
        assert environ['wsgi.input'].tell() == 0

    def test_refuses_a_truncated_body(self) -> None:
        """A body shorter than Content-Length is refused, not parsed."""
        environ = wsgi_post(b'{}', CONTENT_LENGTH='9')
        refusal = read_json_object(environ, _LIMITS).failure()
        assert '2 of 9' in refusal.failure.detail

    @pytest.mark.parametrize('body', [_UnresponsiveBody(), _TimedOutBody()])
    def test_body_timeout(self, body: io.BytesIO) -> None:
        """A body that does not arrive in time is refused with 408."""
        environ = wsgi_post(b'{}') | {'wsgi.input': body}
        refusal = read_json_object(environ, _LIMITS).failure()
        assert refusal.status == 408
        assert refusal.close
