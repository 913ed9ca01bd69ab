"""Entries of requests that ended servers, in the platform's store."""

import base64
import json
from typing import Any

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_builders import FOREIGN_BYTES, item, raw_item
from returns.result import Result, Success

from fennelfork import Failure, ManualTime, manual_clock
from fennelfork.routes import (
    RequestStatus,
    ServerCrash,
    SuspicionRecord,
    SuspicionUpdates,
)
from fennelfork_daemon.routes import (
    InvalidEntry,
    SuspicionRemoved,
    SuspicionUpdate,
)
from fennelfork_platform._items import read_event, read_item
from fennelfork_platform._store import PlatformStore
from fennelfork_platform._store_calls import StoreReply
from fennelfork_platform._suspicions import write_suspicion

_CLOCK = manual_clock(ManualTime())
_NAME = '0123456789abcdef' * 2
_KEY = f'fennelfork/requests/{_NAME}'
_ENDS = st.builds(
    ServerCrash,
    run=st.text(min_size=1, max_size=9),
    service=st.text(min_size=1, max_size=9),
    alone=st.booleans(),
)
_RECORDS = st.builds(
    SuspicionRecord,
    fingerprint=st.just(_NAME),
    status=st.sampled_from(RequestStatus),
    crashes=st.lists(_ENDS, max_size=16).map(tuple),
    isolated_crashes=st.integers(0, 99),
    trials=st.integers(0, 9),
    last_crash_ms=st.integers(0, 10**13),
)
_WEAK = SuspicionRecord(fingerprint=_NAME, status=RequestStatus.SUSPECTED)
_LASTING = attrs.evolve(_WEAK, isolated_crashes=1)


@attrs.define
class FakeCalls:
    """Notes the calls of the store and answers with a status."""

    status: int = 200
    orders: list[Any] = attrs.field(factory=list)

    def send(
        self,
        method: str,
        path: str,
        tree: Any,
    ) -> Result[StoreReply, Failure]:
        """Take one call."""
        self.orders.append(tree)
        return Success((self.status, {}))


class TestEntry:
    """What is written and read."""

    @given(record=_RECORDS)
    def test_round_trip(self, record: SuspicionRecord) -> None:
        """What one daemon writes another reads, with its revision."""
        written = raw_item(_KEY, write_suspicion(record))
        found = read_item(written, _CLOCK)
        revision = written['Revision']
        assert found == SuspicionUpdate(record=record, revision=revision)

    def test_gone(self) -> None:
        """An entry that was removed holds nothing any more."""
        gone = {'Key': _KEY, 'Revision': 9, 'Compacted': True}
        found = read_event(gone, _CLOCK)
        assert found == SuspicionRemoved(fingerprint=_NAME)

    @pytest.mark.parametrize(
        'changed',
        [
            {'standing': 'guilty'},
            {'standing': 3},
            {'rounds': -1},
            {'rounds': True},
            {'trials': '0'},
            {'ended_ms': 1.5},
            {'ends': {}},
            {'ends': [3]},
            {'ends': [{} for _ in range(65)]},
            {'ends': [{'run': 'a@1', 'service': 'a', 'alone': 1}]},
            {'ends': [{'run': '', 'service': 'a', 'alone': True}]},
        ],
    )
    def test_foreign(self, changed: dict[str, Any]) -> None:
        """What no daemon writes refuses nobody."""
        tree = {**json.loads(write_suspicion(_WEAK)), **changed}
        assert isinstance(read_item(item(_KEY, tree), _CLOCK), InvalidEntry)

    @pytest.mark.parametrize('raw', FOREIGN_BYTES)
    def test_foreign_bytes(self, raw: bytes) -> None:
        """Nor do bytes that are no entry at all."""
        found = read_item(raw_item(_KEY, raw), _CLOCK)
        assert isinstance(found, InvalidEntry)

    @pytest.mark.parametrize('name', ['', 'x' * 32, _NAME.upper(), f'{_NAME}0'])
    def test_foreign_key(self, name: str) -> None:
        """Nor does one under a key that is no fingerprint."""
        key = f'fennelfork/requests/{name}'
        found = read_item(raw_item(key, write_suspicion(_WEAK)), _CLOCK)
        assert isinstance(found, InvalidEntry)


class TestStoreCalls:
    """How the store is told."""

    def setup_method(self) -> None:
        """Begin with a store that takes everything."""
        self.calls = FakeCalls()
        self.store = PlatformStore(calls=self.calls, clock=_CLOCK)

    def test_what_lasts_has_no_lease(self) -> None:
        """What rests on one moment goes with its daemon."""
        news = SuspicionUpdates(records=(_WEAK, _LASTING), removed=('e' * 32,))
        assert self.store.publish(news, 7).unwrap()
        order = self.calls.orders[0]
        assert [put['LeaseId'] for put in order['Puts']] == [7, 0]
        assert order['Deletes'] == [f'fennelfork/requests/{"e" * 32}']

    def test_many(self) -> None:
        """No change has more entries than the store takes."""
        names = [f'{number:032x}' for number in range(70)]
        records = [attrs.evolve(_WEAK, fingerprint=name) for name in names]
        assert self.store.publish(
            SuspicionUpdates(records=tuple(records)), 7
        ).unwrap()
        sizes = [len(order['Puts']) for order in self.calls.orders]
        assert sizes == [32, 32, 6]

    def test_lease_has_ended(self) -> None:
        """Then nothing was written."""
        self.calls.status = 404
        assert not self.store.publish(
            SuspicionUpdates(records=(_WEAK,)), 7
        ).unwrap()

    @pytest.mark.parametrize(('status', 'claimed'), [(200, True), (412, False)])
    def test_claim(self, status: int, claimed: bool) -> None:
        """One daemon gets a trial: whoever wrote over what all had read."""
        self.calls.status = status
        assert self.store.claim_trial(_LASTING, 41).unwrap() is claimed
        order = self.calls.orders[0]
        assert order['ExpectedRev'] == [{'Key': _KEY, 'Revision': 41}]
        raw = base64.b64decode(order['Puts'][0]['Value'])
        assert raw == write_suspicion(_LASTING)
