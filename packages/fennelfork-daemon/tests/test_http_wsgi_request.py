"""Reading of request bodies."""

import io

import eventlet
import pytest
from daemon_builders_product import wsgi_post

from fennelfork import Verdict
from fennelfork_daemon.http._wsgi_request import BodyLimits, read_json_object

_LIMITS = BodyLimits(body_bytes=64, read_ms=50)


class _SilentBody(io.BytesIO):
    def read(self, size: int | None = -1) -> bytes:
        eventlet.sleep(60)
        return b''


class _LostBody(io.BytesIO):
    def read(self, size: int | None = -1) -> bytes:
        raise TimeoutError('timed out')


class TestReadJsonObject:
    """One JSON object out of a request, or a refusal."""

    def test_reads_an_object(self) -> None:
        """A small object comes back as it was sent."""
        found = read_json_object(wsgi_post(b'{"a": 1}'), _LIMITS)
        assert found.unwrap() == {'a': 1}

    @pytest.mark.parametrize(
        ('body', 'words'),
        [
            (b'{"a": ', 'not JSON'),
            (b'\xff\xfe', 'not JSON'),
            (b'[' * 64, 'not JSON'),
            (b'[1]', 'not an object'),
            (b'null', 'not an object'),
        ],
    )
    def test_refuses_other_bodies(self, body: bytes, words: str) -> None:
        """What is not a JSON object is a bad request that ran nothing."""
        refusal = read_json_object(wsgi_post(body), _LIMITS).failure()
        assert words in refusal.failure.detail
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
        """A length that is missing, odd or too large is refused unread."""
        environ = wsgi_post(b'{}', CONTENT_LENGTH=length)
        refusal = read_json_object(environ, _LIMITS).failure()
        assert refusal.status == status
        assert refusal.close
        assert environ['wsgi.input'].tell() == 0

    def test_refuses_a_cut_body(self) -> None:
        """A body shorter than announced is refused, not parsed."""
        environ = wsgi_post(b'{}', CONTENT_LENGTH='9')
        refusal = read_json_object(environ, _LIMITS).failure()
        assert '2 of 9' in refusal.failure.detail

    @pytest.mark.parametrize('body', [_SilentBody(), _LostBody()])
    def test_gives_up_on_a_slow_client(self, body: io.BytesIO) -> None:
        """A body that does not come in time is refused with 408."""
        environ = wsgi_post(b'{}') | {'wsgi.input': body}
        refusal = read_json_object(environ, _LIMITS).failure()
        assert refusal.status == 408
        assert refusal.close
