"""Reading and passing on of non-idempotent requests."""

import pytest
from daemon_builders_once import build_gate
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure as Failed
from returns.result import Success

from fennelfork import Verdict
from fennelfork.once import bind_request_id, unknown_outcome
from fennelfork_daemon.execute._codec import (
    reply_from_peer,
    reply_to_peer,
    request_from_peer,
    request_to_peer,
)
from fennelfork_daemon.execute._received_request import (
    read_execute,
    with_unknown_verdict,
)
from fennelfork_daemon.peer._idl import peer

_MAX_DEADLINE_MS = 60_000


def _body(**members):
    ticket = build_gate().issue(1000).text
    body = {
        'request_id': bind_request_id('cert-1', ticket),
        'ticket': ticket,
        'deadline_ms': 5000,
        'tenant': 'salvare',
        'class': 'counter',
        'key': 7,
        'action': 'issue',
    }
    return {**body, **members}


def _read(body):
    return read_execute('registry', body, 100, _MAX_DEADLINE_MS)


class TestReadExecute:
    """Bodies of callers."""

    def test_takes_the_deadline_from_now(self) -> None:
        """A proper body becomes a request with its end on our clock."""
        body = _body()
        received = _read(body).unwrap()
        assert received.deadline_at_ms == 5100
        assert received.request.request_id == body['request_id']
        assert received.request.front == 'registry'

    @pytest.mark.parametrize(
        'wrong',
        [
            {'request_id': 5},
            {'request_id': 'x' * 161},
            {'ticket': None},
            {'tenant': ''},
            {'action': '\ud800'},
            {'key': -1},
            {'key': True},
            {'deadline_ms': 0},
            {'deadline_ms': _MAX_DEADLINE_MS + 1},
            {'deadline_ms': 1.5},
            {'extra': 1},
        ],
    )
    def test_refuses_in_doubt(self, wrong) -> None:
        """A wrong body is refused, without denying an earlier proper one."""
        refused = _read(_body(**wrong))
        assert isinstance(refused, Failed)
        assert refused.failure().verdict is Verdict.MAY_HAVE_RUN

    def test_takes_back_a_verdict_on_the_attempt(self) -> None:
        """What is refused unread says nothing of the id."""
        failure = unknown_outcome('x').with_verdict(Verdict.NOT_RUN)
        assert with_unknown_verdict(failure).verdict is Verdict.MAY_HAVE_RUN

    @given(
        member=st.sampled_from(sorted(_body())),
        found=st.one_of(
            st.none(),
            st.text(max_size=200),
            st.text('\ud800a@.', max_size=20),
            st.integers(),
            st.lists(st.integers(), max_size=2),
        ),
    )
    def test_anything_ends_as_a_value(self, member, found) -> None:
        """No member, whatever it holds, raises on the way to the table."""
        gate = build_gate()
        received = _read(_body(**{member: found}))
        if isinstance(received, Success):
            request = received.unwrap().request
            assert gate.route(request) is not None
            assert gate.admit(request) is not None


class TestPeerMessages:
    """The way to the daemon of the ticket and back."""

    def test_a_request_keeps_its_content(self) -> None:
        """What arrives is what was sent, with the rest of its deadline."""
        received = _read(_body()).unwrap()
        message = request_to_peer(
            received.request, received.traffic_class, 40.9
        )
        arrived = request_from_peer(message, 1000)
        assert arrived.request == received.request
        assert arrived.deadline_at_ms == 1040

    @pytest.mark.parametrize(
        'answer',
        [Success('certificate 5'), Failed(unknown_outcome('gone'))],
    )
    def test_an_answer_keeps_its_verdict(self, answer) -> None:
        """Outcomes and failures come back as they were."""
        assert reply_from_peer(reply_to_peer(answer)) == answer

    def test_an_empty_reply_is_doubtful(self) -> None:
        """A reply with neither outcome nor fault proves nothing."""
        read = reply_from_peer(peer.ExecuteReply())
        assert read.failure().verdict is Verdict.MAY_HAVE_RUN
