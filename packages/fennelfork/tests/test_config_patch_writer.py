"""Tests of patch writers with lost replies, stale reads and outages."""

import itertools
import json
import random
from typing import Any

import pytest
from core_builders_config import (
    FakeStore,
    patch_request,
    patch_writer,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from returns.result import Success

from fennelfork import FailureCode, ManualTime, Verdict, manual_clock
from fennelfork.config import (
    ConfigSource,
    DocumentRead,
    PatchDone,
    PatchWriter,
    ReadDocument,
    ReadFailed,
    StoredDocument,
    WriteApplied,
    WriteConflict,
    WriteDocument,
    WriteNotSent,
    WriteOutcomeUnknown,
    advance_patch,
    config_state,
    merge_patch,
)

_FAULTS = st.sampled_from(
    ['none', 'none', 'none', 'down', 'stale', 'lost', 'late'],
)
_RECENT_WRITERS = 4
_DOWN = tuple(itertools.repeat('down', 9))
_LOST_THEN_DOWN = ('none', 'lost', *_DOWN)


def _read(store: FakeStore, fault: str, age: int) -> Any:
    if fault in {'down', 'lost', 'late'}:
        return ReadFailed(detail='no answer')
    versions_back = min(age, len(store.history)) if fault == 'stale' else 1
    return DocumentRead(stored=store.history[-versions_back])


def _write(store: FakeStore, step: WriteDocument, fault: str) -> Any:
    if fault == 'down':
        return WriteNotSent(detail='connection refused')
    if fault == 'late':
        store.delayed_writes.append(step.write)
        return WriteOutcomeUnknown(detail='timeout')
    applied = store.swap(step.write)
    if fault == 'lost':
        return WriteOutcomeUnknown(detail='timeout')
    return WriteApplied() if applied else WriteConflict()


def _step(writer: PatchWriter, store: FakeStore, fault: str, age: int) -> None:
    step = writer.step
    if isinstance(step, ReadDocument):
        advance_patch(_read(store, fault, age), writer)
    elif isinstance(step, WriteDocument):
        advance_patch(_write(store, step, fault), writer)


def _run(writer: PatchWriter, store: FakeStore, *faults: str) -> Any:
    no_faults = itertools.repeat('none', 9)
    for fault in itertools.chain(faults, no_faults):
        _step(writer, store, fault, 2)
    assert isinstance(writer.step, PatchDone)
    return writer.step.outcome


class ConfigurationMachine(RuleBasedStateMachine):
    """Concurrent patches and reads with injected platform faults."""

    def __init__(self) -> None:
        """Start with an absent key."""
        super().__init__()
        clock = manual_clock(ManualTime())
        self.store = FakeStore()
        self.writers: list[PatchWriter] = []
        self.readers = [config_state(clock) for _ in range(3)]
        self.last_versions = [0, 0, 0]

    @initialize()
    def first_version(self) -> None:
        """Accept one patch, so that a stale read can return an older version."""
        writer = patch_writer(patch_request(patch_id='first', weight=1))
        self.writers.append(writer)
        _run(writer, self.store)

    @rule(versions_back=st.integers(0, 1), weight=st.integers(1, 50))
    def start_patch(self, versions_back: int, weight: int) -> None:
        """Start a patch of the current or the previous version."""
        base = len(self.store.history) - 1 - versions_back
        number = len(self.writers)
        request = patch_request(base, f'p-{number}', weight)
        self.writers.append(patch_writer(request, self.readers[0].version))

    @rule(weight=st.integers(1, 50))
    def start_conflicting_patches(self, weight: int) -> None:
        """Start two patches that have read the same version."""
        for offset in (0, 1):
            self.start_patch(0, weight + offset)
            _step(self.writers[-1], self.store, 'none', 1)

    @rule(
        position=st.integers(0, 1),
        fault=_FAULTS,
        outage_calls=st.integers(0, 4),
    )
    def run_to_outcome(
        self, position: int, fault: str, outage_calls: int
    ) -> None:
        """Run a writer to its outcome after a fault and an outage."""
        writer = self.writers[-1 - position % len(self.writers)]
        _run(writer, self.store, fault, *_DOWN[:outage_calls])

    @rule(position=st.integers(0, 9), fault=_FAULTS, age=st.integers(1, 3))
    def step(self, position: int, fault: str, age: int) -> None:
        """Execute one step of a recent writer with a fault."""
        recent = self.writers[-_RECENT_WRITERS:]
        _step(recent[position % len(recent)], self.store, fault, age)

    @precondition(lambda machine: machine.store.delayed_writes)
    @rule(position=st.integers(0, 9))
    def deliver_delayed_write(self, position: int) -> None:
        """Deliver a write that timed out."""
        delayed = self.store.delayed_writes
        self.store.swap(delayed.pop(position % len(delayed)))

    @rule(reader=st.integers(0, 2), age=st.integers(1, 3), empty=st.booleans())
    def read_platform(self, reader: int, age: int, empty: bool) -> None:
        """Offer a current, older or missing value to a daemon."""
        stored = self.store.history[-min(age, len(self.store.history))]
        raw = None if empty else stored.raw
        self.readers[reader].offer(raw, ConfigSource.PLATFORM)

    @rule(reader=st.integers(0, 2), peer=st.integers(0, 2))
    def read_peer(self, reader: int, peer: int) -> None:
        """Offer the active document of a peer to a daemon."""
        active = self.readers[peer].active
        if active is not None:
            self.readers[reader].offer(active.raw, ConfigSource.PEER)

    @invariant()
    def versions_are_consecutive(self) -> None:
        """The stored versions are consecutive."""
        versions = [
            json.loads(stored.raw)['version']
            for stored in self.store.history
            if stored.raw is not None
        ]
        assert versions == list(range(1, len(versions) + 1))

    @invariant()
    def verdicts_are_correct(self) -> None:
        """Accepted patches are in the history, refused patches are not."""
        ids = self._history()
        for writer in self.writers:
            if not isinstance(writer.step, PatchDone):
                continue
            outcome = writer.step.outcome
            if isinstance(outcome, Success):
                assert ids.count(writer.request.patch_id) == 1
            elif outcome.failure().failure.verdict is Verdict.NOT_RUN:
                assert writer.request.patch_id not in ids

    @invariant()
    def document_equals_accepted_patches(self) -> None:
        """The document equals the accepted patches applied in order."""
        requests = {
            writer.request.patch_id: writer.request for writer in self.writers
        }
        tenants: Any = {}
        for patch_id in self._history():
            tenants = merge_patch(tenants, requests[patch_id].patch)
        stored = self.store.current.raw
        if stored is not None:
            assert json.loads(stored)['tenants'] == tenants['tenants']

    @invariant()
    def reader_versions_never_decrease(self) -> None:
        """The version of a daemon never decreases and was stored before."""
        for number, reader in enumerate(self.readers):
            assert reader.version >= self.last_versions[number]
            self.last_versions[number] = reader.version
            if reader.active is not None:
                stored_document = self.store.history[reader.version]
                assert reader.active.raw == stored_document.raw

    def _history(self) -> list[str]:
        stored = self.store.current.raw
        if stored is None:
            return []
        return [record['id'] for record in json.loads(stored)['patches']]


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(stateful_step_count=60)


class TestLostReply:
    """Writes without an answer."""

    def test_outcome_is_read_from_the_history(self) -> None:
        """A write that took effect is accepted after a read of the history."""
        store = FakeStore()
        outcome = _run(
            patch_writer(patch_request()),
            store,
            'none',
            'lost',
            'down',
            'down',
        )
        assert outcome.unwrap().record.version == 1
        assert len(store.history) == 2

    def test_repeated_write_takes_effect_once(self) -> None:
        """Guards against a delayed write that takes effect a second time."""
        store = FakeStore()
        outcome = _run(patch_writer(patch_request()), store, 'none', 'late')
        assert outcome.unwrap().record.version == 1
        assert not store.swap(store.delayed_writes.pop())

    def test_unavailable_platform_yields_an_unknown_outcome(self) -> None:
        """Without a read after the write the verdict is MAY_HAVE_RUN."""
        store = FakeStore()
        outcome = _run(patch_writer(patch_request()), store, *_LOST_THEN_DOWN)
        assert outcome.failure().failure.verdict is Verdict.MAY_HAVE_RUN

    def test_unsent_write_has_not_run(self) -> None:
        """A patch is refused with NOT_RUN if the platform is unreachable."""
        store = FakeStore()
        outcome = _run(patch_writer(patch_request()), store, *_DOWN)
        assert outcome.failure().failure.verdict is Verdict.NOT_RUN
        assert outcome.failure().failure.retry_after_ms

    @pytest.mark.parametrize(
        ('faults', 'verdict'),
        [
            (('down',), Verdict.NOT_RUN),
            (('none', 'lost'), Verdict.MAY_HAVE_RUN),
        ],
    )
    def test_failure_after_the_deadline_is_not_retried(
        self,
        faults: tuple[str, ...],
        verdict: Verdict,
    ) -> None:
        """After the deadline a writer ends with the known verdict."""
        manual = ManualTime()
        writer = patch_writer(patch_request(), manual=manual)
        manual.advance(1000)
        for fault in faults:
            _step(writer, FakeStore(), fault, 1)
        assert isinstance(writer.step, PatchDone)
        assert writer.step.outcome.failure().failure.verdict is verdict

    def test_empty_platform_yields_an_unknown_outcome(self) -> None:
        """An absent key does not prove that the write did not run."""
        store = FakeStore(history=[StoredDocument(raw=None, revision=4)])
        writer = patch_writer(patch_request())
        _step(writer, store, 'none', 1)
        _step(writer, store, 'lost', 1)
        store.history.append(StoredDocument(raw=None, revision=0))
        outcome = _run(writer, store)
        assert outcome.failure().failure.verdict is Verdict.MAY_HAVE_RUN


class TestRace:
    """Concurrent writers of the same version."""

    @pytest.mark.parametrize('fault', ['none', 'lost', 'late', 'down'])
    def test_one_writer_succeeds(self, fault: str) -> None:
        """The second writer gets a conflict for each kind of fault."""
        store = FakeStore()
        second = patch_writer(patch_request(patch_id='p-2', weight=9))
        _step(second, store, 'none', 1)
        first = _run(patch_writer(patch_request()), store)
        outcome = _run(second, store, fault)
        assert first.unwrap().record.version == 1
        refused = outcome.failure()
        assert refused.failure.code is FailureCode.CONFLICT
        assert refused.failure.verdict is Verdict.NOT_RUN
        assert len(store.history) == 2


class TestRetries:
    """Delays between attempts."""

    def test_delays_are_jittered(self) -> None:
        """Guards against equal delays of writers that fail together."""
        waits = set()
        for seed in range(8):
            writer = patch_writer(patch_request())
            writer.jitter = random.Random(seed)
            _step(writer, FakeStore(), 'down', 1)
            _step(writer, FakeStore(), 'down', 1)
            assert isinstance(writer.step, ReadDocument)
            waits.add(writer.step.delay_ms)
        assert len(waits) == 8
        assert min(waits) > 0
