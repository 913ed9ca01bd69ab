"""Parsing and forwarding of non-idempotent requests."""

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
    """Validation of request bodies."""

    def test_computes_the_deadline(self) -> None:
        """A valid body becomes a request with a deadline on the local clock."""
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
    def test_refuses_invalid_body_as_may_have_run(self, wrong) -> None:
        """An earlier request with the same id and a valid body may have run."""
        refused = _read(_body(**wrong))
        assert isinstance(refused, Failed)
        assert refused.failure().verdict is Verdict.MAY_HAVE_RUN

    def test_replaces_the_verdict_of_an_unread_body(self) -> None:
        """An unread body proves nothing about earlier requests."""
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
    def test_any_member_value_is_handled(self, member, found) -> None:
        """No value of a member raises an exception in parser or gate."""
        gate = build_gate()
        received = _read(_body(**{member: found}))
        if isinstance(received, Success):
            request = received.unwrap().request
            assert gate.route(request) is not None
            assert gate.admit(request) is not None


class TestPeerMessages:
    """Round trips through the messages of the peer RPC."""

    def test_request_round_trip(self) -> None:
        """The content is unchanged and the remaining time is truncated."""
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
    def test_answer_round_trip(self, answer) -> None:
        """Outcomes and failures are unchanged."""
        assert reply_from_peer(reply_to_peer(answer)) == answer

    def test_empty_reply_may_have_run(self) -> None:
        """A reply without outcome and fault does not prove `NOT_RUN`."""
        read = reply_from_peer(peer.ExecuteReply())
        assert read.failure().verdict is Verdict.MAY_HAVE_RUN
