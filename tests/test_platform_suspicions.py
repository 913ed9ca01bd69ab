"""Tests of the records of suspected poison requests in the store."""

import base64
import json
from typing import Any

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_builders import INVALID_BYTES, item, raw_item
from returns.result import Result, Success

from fennelfork import Failure, ManualTime, manual_clock
from fennelfork.routes import (
    RequestStatus,
    ServerCrash,
    StoreEra,
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
from fennelfork_platform._store_client import StoreResponse
from fennelfork_platform._suspicions import write_suspicion

_CLOCK = manual_clock(ManualTime())
_FINGERPRINT = '0123456789abcdef' * 2
_KEY = f'fennelfork/requests/{_FINGERPRINT}'
_CRASHES = st.builds(
    ServerCrash,
    run=st.text(min_size=1, max_size=9),
    service=st.text(min_size=1, max_size=9),
    alone=st.booleans(),
)
_RECORDS = st.builds(
    SuspicionRecord,
    fingerprint=st.just(_FINGERPRINT),
    status=st.sampled_from(RequestStatus),
    crashes=st.lists(_CRASHES, max_size=16).map(tuple),
    isolated_crashes=st.integers(0, 99),
    trials=st.integers(0, 9),
    last_crash_ms=st.integers(0, 10**13),
)
_TRANSIENT = SuspicionRecord(
    fingerprint=_FINGERPRINT, status=RequestStatus.SUSPECTED
)
_DURABLE = attrs.evolve(_TRANSIENT, isolated_crashes=1)


@attrs.define
class FakeStoreClient:
    """Store client that records transactions and returns a fixed status."""

    status: int = 200
    transactions: list[Any] = attrs.field(factory=list)

    def send(
        self,
        method: str,
        path: str,
        tree: Any,
    ) -> Result[StoreResponse, Failure]:
        """Record the body of a call."""
        self.transactions.append(tree)
        return Success((self.status, {}))


class TestEntry:
    """Encoding and decoding of records."""

    @given(record=_RECORDS)
    def test_round_trip(self, record: SuspicionRecord) -> None:
        """Encoding and decoding preserve a record; the revision is added."""
        written = raw_item(_KEY, write_suspicion(record))
        update = read_item(written, _CLOCK)
        revision = written['Revision']
        assert update == SuspicionUpdate(record=record, revision=revision)

    def test_gone(self) -> None:
        """The removal of the key is the removal of the suspicion."""
        event = {'Key': _KEY, 'Revision': 9, 'Compacted': True}
        update = read_event(event, _CLOCK)
        assert update == SuspicionRemoved(fingerprint=_FINGERPRINT)

    @pytest.mark.parametrize(
        'changes',
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
    def test_invalid_field(self, changes: dict[str, Any]) -> None:
        """A record with an invalid field is rejected."""
        tree = {**json.loads(write_suspicion(_TRANSIENT)), **changes}
        assert isinstance(read_item(item(_KEY, tree), _CLOCK), InvalidEntry)

    @pytest.mark.parametrize('raw', INVALID_BYTES)
    def test_invalid_bytes(self, raw: bytes) -> None:
        """Bytes that are not a record are rejected."""
        update = read_item(raw_item(_KEY, raw), _CLOCK)
        assert isinstance(update, InvalidEntry)

    @pytest.mark.parametrize(
        'name', ['', 'x' * 32, _FINGERPRINT.upper(), f'{_FINGERPRINT}0']
    )
    def test_invalid_key(self, name: str) -> None:
        """A key without a valid fingerprint is rejected."""
        key = f'fennelfork/requests/{name}'
        update = read_item(raw_item(key, write_suspicion(_TRANSIENT)), _CLOCK)
        assert isinstance(update, InvalidEntry)


class TestTransactions:
    """Transactions that publish and claim suspicions."""

    def setup_method(self) -> None:
        """Create a store that accepts all transactions."""
        self.client = FakeStoreClient()
        self.store = PlatformStore(
            era=StoreEra(), client=self.client, clock=_CLOCK
        )

    def test_durable_record_has_no_lease(self) -> None:
        """Only records that are not durable are attached to the lease."""
        updates = SuspicionUpdates(
            records=(_TRANSIENT, _DURABLE), removed=('e' * 32,)
        )
        assert self.store.publish(updates, 7).unwrap()
        transaction = self.client.transactions[0]
        assert [put['LeaseId'] for put in transaction['Puts']] == [7, 0]
        assert transaction['Deletes'] == [f'fennelfork/requests/{"e" * 32}']

    def test_transaction_size(self) -> None:
        """Large updates are split at the limit of the store."""
        names = [f'{number:032x}' for number in range(70)]
        records = [attrs.evolve(_TRANSIENT, fingerprint=name) for name in names]
        assert self.store.publish(
            SuspicionUpdates(records=tuple(records)), 7
        ).unwrap()
        sizes = [
            len(transaction['Puts']) for transaction in self.client.transactions
        ]
        assert sizes == [32, 32, 6]

    def test_expired_lease(self) -> None:
        """Publishing under an expired lease returns false."""
        self.client.status = 404
        assert not self.store.publish(
            SuspicionUpdates(records=(_TRANSIENT,)), 7
        ).unwrap()

    @pytest.mark.parametrize(('status', 'claimed'), [(200, True), (412, False)])
    def test_claim(self, status: int, claimed: bool) -> None:
        """A claim succeeds only if the revision is current."""
        self.client.status = status
        assert self.store.claim_trial(_DURABLE, 41).unwrap() is claimed
        transaction = self.client.transactions[0]
        assert transaction['ExpectedRev'] == [{'Key': _KEY, 'Revision': 41}]
        raw = base64.b64decode(transaction['Puts'][0]['Value'])
        assert raw == write_suspicion(_DURABLE)
