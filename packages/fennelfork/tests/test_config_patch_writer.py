"""Writers and readers of the configuration, under lost replies and outages."""

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
_WRITERS = 4
_DOWN = tuple(itertools.repeat('down', 9))
_LOST_THEN_DOWN = ('none', 'lost', *_DOWN)


def _read(store: FakeStore, fault: str, age: int) -> Any:
    if fault in {'down', 'lost', 'late'}:
        return ReadFailed(detail='no answer')
    back = min(age, len(store.history)) if fault == 'stale' else 1
    return DocumentRead(stored=store.history[-back])


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
    calm = itertools.repeat('none', 9)
    for fault in itertools.chain(faults, calm):
        _step(writer, store, fault, 2)
    assert isinstance(writer.step, PatchDone)
    return writer.step.outcome


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators race through daemons while the platform misbehaves."""

    def __init__(self) -> None:
        """Start with an absent key."""
        super().__init__()
        clock = manual_clock(ManualTime())
        self.store = FakeStore()
        self.writers: list[PatchWriter] = []
        self.readers = [config_state(clock) for _ in range(3)]
        self.seen = [0, 0, 0]

    @initialize()
    def first_version(self) -> None:
        """Accept one patch, so that there is a version to be lost."""
        writer = patch_writer(patch_request(patch_id='first', weight=1))
        self.writers.append(writer)
        _run(writer, self.store)

    @rule(back=st.integers(0, 1), weight=st.integers(1, 50))
    def start(self, back: int, weight: int) -> None:
        """An operator patches the version in force, or the one before."""
        base = len(self.store.history) - 1 - back
        number = len(self.writers)
        request = patch_request(base, f'p-{number}', weight)
        self.writers.append(patch_writer(request, self.readers[0].version))

    @rule(weight=st.integers(1, 50))
    def race(self, weight: int) -> None:
        """Two operators have read the same version and are about to write."""
        for rival in (0, 1):
            self.start(0, weight + rival)
            _step(self.writers[-1], self.store, 'none', 1)

    @rule(which=st.integers(0, 1), fault=_FAULTS, away=st.integers(0, 4))
    def drive(self, which: int, fault: str, away: int) -> None:
        """A fault, the platform away for some calls, and no more faults."""
        writer = self.writers[-1 - which % len(self.writers)]
        _run(writer, self.store, fault, *_DOWN[:away])

    @rule(which=st.integers(0, 9), fault=_FAULTS, age=st.integers(1, 3))
    def step(self, which: int, fault: str, age: int) -> None:
        """One of the youngest writers takes a step, under a fault."""
        young = self.writers[-_WRITERS:]
        _step(young[which % len(young)], self.store, fault, age)

    @precondition(lambda machine: machine.store.delayed_writes)
    @rule(which=st.integers(0, 9))
    def land(self, which: int) -> None:
        """A write that everybody gave up on reaches the platform."""
        late = self.store.delayed_writes
        self.store.swap(late.pop(which % len(late)))

    @rule(reader=st.integers(0, 2), age=st.integers(1, 3), empty=st.booleans())
    def watch(self, reader: int, age: int, empty: bool) -> None:
        """A daemon reads the platform, which may show an older value or none."""
        shown = self.store.history[-min(age, len(self.store.history))]
        raw = None if empty else shown.raw
        self.readers[reader].offer(raw, ConfigSource.PLATFORM)

    @rule(reader=st.integers(0, 2), peer=st.integers(0, 2))
    def pull(self, reader: int, peer: int) -> None:
        """A daemon takes the document of a peer."""
        active = self.readers[peer].active
        if active is not None:
            self.readers[reader].offer(active.raw, ConfigSource.PEER)

    @invariant()
    def versions_rise_by_one(self) -> None:
        """The platform's versions never skip, double or fall."""
        versions = [
            json.loads(shown.raw)['version']
            for shown in self.store.history
            if shown.raw is not None
        ]
        assert versions == list(range(1, len(versions) + 1))

    @invariant()
    def verdicts_are_true(self) -> None:
        """Acknowledged patches are in the history, refused ones are not."""
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
    def document_is_its_patches(self) -> None:
        """The document in force is all accepted patches, in their order."""
        requests = {
            writer.request.patch_id: writer.request for writer in self.writers
        }
        tenants: Any = {}
        for patch_id in self._history():
            tenants = merge_patch(tenants, requests[patch_id].patch)
        shown = self.store.current.raw
        if shown is not None:
            assert json.loads(shown)['tenants'] == tenants['tenants']

    @invariant()
    def readers_never_fall(self) -> None:
        """A daemon's version only rises, and is a version that was made."""
        for place, reader in enumerate(self.readers):
            assert reader.version >= self.seen[place]
            self.seen[place] = reader.version
            if reader.active is not None:
                made = self.store.history[reader.version]
                assert reader.active.raw == made.raw

    def _history(self) -> list[str]:
        shown = self.store.current.raw
        if shown is None:
            return []
        return [record['id'] for record in json.loads(shown)['patches']]


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(stateful_step_count=60)


class TestLostReply:
    """A write whose reply is lost."""

    def test_found_by_reading_back(self) -> None:
        """A write that took effect is accepted once its id is read back."""
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

    def test_sent_again_without_doubling(self) -> None:
        """A write still on its way is sent again and takes effect once."""
        store = FakeStore()
        outcome = _run(patch_writer(patch_request()), store, 'none', 'late')
        assert outcome.unwrap().record.version == 1
        assert not store.swap(store.delayed_writes.pop())

    def test_platform_gone_leaves_the_matter_open(self) -> None:
        """Without a read back the verdict is that it may have run."""
        store = FakeStore()
        outcome = _run(patch_writer(patch_request()), store, *_LOST_THEN_DOWN)
        assert outcome.failure().failure.verdict is Verdict.MAY_HAVE_RUN

    def test_unsent_write_was_not_run(self) -> None:
        """A platform that cannot be reached is a refusal that is true."""
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
    def test_late_failure_is_the_last(
        self,
        faults: tuple[str, ...],
        verdict: Verdict,
    ) -> None:
        """Once its time is over, a writer answers with what is certain."""
        manual = ManualTime()
        writer = patch_writer(patch_request(), manual=manual)
        manual.advance(1000)
        for fault in faults:
            _step(writer, FakeStore(), fault, 1)
        assert isinstance(writer.step, PatchDone)
        assert writer.step.outcome.failure().failure.verdict is verdict

    def test_emptied_platform_settles_nothing(self) -> None:
        """An absent key after a lost write does not prove it did not run."""
        store = FakeStore(history=[StoredDocument(raw=None, revision=4)])
        writer = patch_writer(patch_request())
        _step(writer, store, 'none', 1)
        _step(writer, store, 'lost', 1)
        store.history.append(StoredDocument(raw=None, revision=0))
        outcome = _run(writer, store)
        assert outcome.failure().failure.verdict is Verdict.MAY_HAVE_RUN


class TestRace:
    """Two writers of the same version."""

    @pytest.mark.parametrize('fault', ['none', 'lost', 'late', 'down'])
    def test_has_one_winner(self, fault: str) -> None:
        """The writer that comes second is refused, whatever it heard."""
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
    """Waits between tries."""

    def test_grow_and_are_jittered(self) -> None:
        """Two writers that fail alike do not wait alike."""
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
