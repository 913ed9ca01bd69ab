"""Messages about permits between daemons, and their use for requests.

Guards against invalid messages of other daemons, and against requests that wait
for an owner that does not answer.
"""

import io
import json
from typing import Any

import attrs
import pytest
from daemon_builders_prepared import prepared_server
from daemon_builders_response_forms import MALFORMED, VALID, with_content
from daemon_builders_routes import member
from returns.result import Failure as Bad
from returns.result import Success

from fennelfork import (
    FailureCode,
    ManualTime,
    manual_clock,
    not_run,
    system_clock,
)
from fennelfork.workspaces import (
    MustAsk,
    PermitAsk,
    PermitGrant,
    PermitNeed,
    Workspace,
)
from fennelfork_daemon.http._router import router
from fennelfork_daemon.quota._api import permit_route
from fennelfork_daemon.quota._client import PermitClient
from fennelfork_daemon.quota._codec import (
    decode_ask,
    decode_grants,
    encode_ask,
    encode_grants,
)
from fennelfork_daemon.quota._service import Quotas
from fennelfork_daemon.routes._lease_proof import LeaseProof

_TIMEOUT_MS = 20_000
_ASK = PermitAsk(
    holder='vm-1',
    incarnation=7,
    number=3,
    needs=(PermitNeed(workspace='a', needed=1, held=2, returned=1, wanted=2),),
)
_GRANTS = (PermitGrant(workspace='a', granted=1, held=2, retry_ms=40),)
_WORKSPACE = Workspace(name='a', rate_per_s=1, burst=1)
_REFUSED = not_run(FailureCode.QUOTA, 'over', retry_after_ms=1000)


def _post(body: bytes) -> tuple[str, Any]:
    """Send a message to the API and return the status and the answer."""
    started: list[str] = []
    environ = {
        'RAW_PATH_INFO': '/permits',
        'REQUEST_METHOD': 'POST',
        'CONTENT_LENGTH': str(len(body)),
        'wsgi.input': io.BytesIO(body),
    }
    application = router((permit_route(lambda ask: _GRANTS),))
    content = application(
        environ, lambda status, _headers: started.append(status)
    )
    return started[0], json.loads(b''.join(content))


class TestMessages:
    """Encoding of the messages, and the API that receives them."""

    def test_round_trip(self) -> None:
        """Messages survive encoding and decoding."""
        tree = json.loads(json.dumps(encode_ask(_ASK)))
        assert decode_ask(tree).unwrap() == _ASK
        tree = json.loads(json.dumps(encode_grants(_GRANTS)))
        assert decode_grants(tree).unwrap() == _GRANTS

    def test_answered(self) -> None:
        """A valid message gets the grants."""
        status, tree = _post(json.dumps(encode_ask(_ASK)).encode())
        assert status.startswith('200')
        assert decode_grants(tree).unwrap() == _GRANTS

    @pytest.mark.parametrize(
        'needs',
        [None, 5, [['a', 1, 2, 3]], [['a', -1, 0, 0, 0]], [[7, 0, 0, 0, 0]]],
    )
    def test_invalid(self, needs: Any) -> None:
        """An invalid message is refused with 400."""
        tree = {**encode_ask(_ASK), 'needs': needs}
        status, _problem = _post(json.dumps(tree).encode())
        assert status.startswith('400')


class TestAnswersOfOwners:
    """Answers of other daemons to messages about permits."""

    @pytest.mark.parametrize('form', sorted(MALFORMED))
    def test_malformed_answer_grants_nothing(self, form: str) -> None:
        """Guards against permits from a malformed response."""
        assert _ask_owner(MALFORMED[form]) is None

    def test_valid_answer_grants(self) -> None:
        """The same grants count in a valid response."""
        assert _ask_owner(VALID['length']) == _GRANTS


def _ask_owner(form: bytes) -> tuple[PermitGrant, ...] | None:
    """Ask an owner whose response has a form, with grants where possible."""
    grants = json.dumps(encode_grants(_GRANTS)).encode()
    with prepared_server(with_content(form, b'200', grants)) as server:
        owner = attrs.evolve(member('vm-2'), peer=str(server.address))
        return PermitClient(clock=system_clock()).send(owner, _ASK, _TIMEOUT_MS)


@attrs.define(kw_only=True)
class _Quota:
    """Quota whose decision is given, without workspaces of its own."""

    decision: Any
    is_active: bool = True
    concluded: list[Any] = attrs.field(factory=list)

    def apply(self, workspaces: Any) -> None:
        """Ignore the configuration."""

    def admit(self, workspace: Any, left_ms: float) -> Any:
        """Return the given decision."""
        return self.decision

    def conclude(self, name: str, grants: Any) -> Any:
        """Refuse the request and keep the answer of the owner."""
        self.concluded.append((name, grants))
        return Bad(_REFUSED)


@attrs.define(kw_only=True)
class _Stub:
    """Client without an answer, and reporter."""

    refused: list[str] = attrs.field(factory=list)
    timeouts: list[float] = attrs.field(factory=list)

    def send(self, owner: Any, ask: Any, timeout_ms: float) -> None:
        """Return no answer."""
        self.timeouts.append(timeout_ms)

    def record_refusal(self, workspace: str) -> None:
        """Record a refusal."""
        self.refused.append(workspace)

    def check(self) -> None:
        """Do nothing."""


class TestQuotas:
    """Requests of callers at one daemon."""

    def test_silent_owner(self) -> None:
        """A request is refused when the owner does not answer in time."""
        asked = MustAsk(owner=None, ask=_ASK, timeout_ms=60)  # type: ignore[arg-type]
        quota, stub = _Quota(decision=Success(asked)), _Stub()
        quotas = Quotas(
            quota=quota, client=stub, reporter=stub, workspaces=dict
        )
        assert quotas.admit(_WORKSPACE, 400).failure() == _REFUSED
        assert stub.timeouts == [60]
        assert quota.concluded == [('a', None)]
        assert stub.refused == ['a']


class TestLeaseProof:
    """Proof that this daemon is registered."""

    def test_lease(self) -> None:
        """The proof counts from the request of a renewal, not its response."""
        time = ManualTime()
        proof = LeaseProof(clock=manual_clock(time))
        assert proof.registered.since_ms is None
        time.advance(200)
        proof.record_granted(0, 3000)
        assert proof.registered.since_ms == 200
        time.advance(2600)
        assert proof.registered.is_confirmed
        time.advance(100)
        assert not proof.registered.is_confirmed
        proof.record_renewed(2500)
        assert proof.registered.is_confirmed
        proof.record_lost()
        assert proof.registered.since_ms is None

    def test_earlier_process(self) -> None:
        """All daemons lost power: owners go on with the leases they had."""
        time = ManualTime()
        time.advance(500)
        proof = LeaseProof(clock=manual_clock(time))
        proof.record_granted(400, 3000, held_ms=9000)
        assert proof.registered.since_ms == -8500
        assert proof.registered.is_confirmed
