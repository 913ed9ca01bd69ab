"""Tests of the decision on a patch before the write."""

import json
from typing import Any

import attrs
import pytest
from core_builders_config import (
    document_tree,
    patch_request,
    server_tree,
    stored_document,
)

from fennelfork import FailureCode, Verdict
from fennelfork.config import (
    Document,
    PatchContext,
    PatchRefused,
    PatchRequest,
    PreparedWrite,
    StoredDocument,
    decide_patch,
    parse_document,
    parsed_document,
    structure_request,
)


def _context(stored: StoredDocument, known_version: int = 0) -> PatchContext:
    return PatchContext(
        stored=stored,
        known_version=known_version,
        previous=parsed_document(Document()),
        now_ms=77,
    )


def _prepare(request: PatchRequest, stored: StoredDocument) -> PreparedWrite:
    decision = decide_patch(request, _context(stored)).unwrap()
    assert isinstance(decision, PreparedWrite)
    return decision


def _refuse(
    request: PatchRequest,
    tree: dict[str, Any],
    known_version: int = 0,
) -> PatchRefused:
    context = _context(stored_document(tree), known_version)
    return decide_patch(request, context).failure()


class TestAcceptance:
    """Accepted patches."""

    def test_write_contains_the_next_version_and_its_record(self) -> None:
        """The write contains the merged document with the next version."""
        write = _prepare(patch_request(1), stored_document(document_tree(1)))
        document = parse_document(write.raw).unwrap()
        assert write.revision == 5
        assert document.version == 2
        assert document.tenants['salvare'].weight == 3
        assert document.patches == (write.record,)
        assert write.record.paths == ('tenants.salvare.weight',)
        assert write.record.at_ms == 77

    def test_absent_key_gets_version_one(self) -> None:
        """A patch with base zero on an absent key produces version one."""
        absent = StoredDocument(raw=None, revision=0)
        write = _prepare(patch_request(), absent)
        assert write.record.version == 1

    def test_history_is_bounded(self) -> None:
        """The history keeps the last 256 consecutive versions."""
        stored = StoredDocument(raw=None, revision=0)
        tenants = {f't{number}': {'weight': 1} for number in range(40)}
        for version in range(300):
            request = patch_request(version, f'p-{version}', version + 1)
            with_many_paths = attrs.evolve(request, patch={'tenants': tenants})
            request = request if version else with_many_paths
            write = _prepare(request, stored)
            stored = StoredDocument(raw=write.raw, revision=version + 1)
            assert len(write.record.paths) <= 8
        document = parse_document(str(stored.raw)).unwrap()
        versions = [record.version for record in document.patches]
        assert versions == list(range(45, 301))

    def test_size_of_the_longest_history_is_bounded(self) -> None:
        """256 records with the longest names take less than 400,000 bytes."""
        names = [f'{number:063}' for number in range(16)]
        stored = stored_document({'version': 0})
        for version in range(256):
            server = {**server_tree(), 'slots': version + 1}
            shard = {'servers': dict.fromkeys(names, server)}
            front = {'keys': 9, 'shards': {names[0]: shard}}
            request = PatchRequest(
                base=version,
                patch_id=f'{version:064}',
                author='\u00e9' * 128,
                patch={'fronts': {names[0]: front}},
            )
            write = _prepare(request, stored)
            stored = StoredDocument(raw=write.raw, revision=version + 1)
        history = json.loads(str(stored.raw))['patches']
        assert len(history) == 256
        assert len(json.dumps(history)) < 400_000


class TestRepetition:
    """Patches whose identifier is already in the history."""

    def test_repeated_patch_returns_the_first_outcome(self) -> None:
        """Guards against a second application of a repeated patch."""
        request = patch_request(1)
        write = _prepare(request, stored_document(document_tree(1)))
        tree = {**json.loads(write.raw), 'version': 3}
        context = _context(stored_document(tree), known_version=3)
        accepted = decide_patch(request, context).unwrap()
        assert accepted.record == write.record

    def test_identifier_of_another_patch_is_refused(self) -> None:
        """Another patch with the identifier of an accepted patch is refused."""
        write = _prepare(patch_request(1), stored_document(document_tree(1)))
        refused = _refuse(patch_request(2), json.loads(write.raw))
        assert refused.failure.code is FailureCode.DUPLICATE
        assert refused.failure.verdict is Verdict.RAN


class TestRefusal:
    """Refused patches."""

    def test_conflict_reports_active_version_and_changes(self) -> None:
        """A conflict reports the active version, its patches and the changes."""
        write = _prepare(patch_request(1), stored_document(document_tree(1)))
        conflicting = patch_request(1, patch_id='p-2', weight=9)
        refused = _refuse(conflicting, json.loads(write.raw))
        assert refused.failure.code is FailureCode.CONFLICT
        assert refused.failure.verdict is Verdict.NOT_RUN
        assert refused.active_version == 2
        assert refused.newer_patches == (write.record,)
        paths = [(found.path, found.before) for found in refused.changes]
        assert paths == [('tenants.salvare.weight', 3)]

    @pytest.mark.parametrize(
        ('patch', 'path'),
        [
            ({'version': 9}, 'version'),
            ({'patches': None}, 'patches'),
            ({'tenants': {'salvare': {'weight': 0}}}, 'tenants.salvare.weight'),
            ({'front': {}}, 'front'),
            ({'fronts': {'raft-search': {'keys': None}}}, None),
        ],
    )
    def test_problems_are_reported_without_a_write(
        self,
        patch: dict[str, Any],
        path: str | None,
    ) -> None:
        """A patch with an invalid result is refused with the problem paths."""
        request = attrs.evolve(patch_request(1), patch=patch)
        refused = _refuse(request, document_tree(1))
        assert refused.failure.code is FailureCode.BAD_REQUEST
        assert refused.failure.verdict is Verdict.NOT_RUN
        found = [problem.path for problem in refused.problems]
        assert found == [path or 'fronts.raft-search.keys']

    def test_document_over_the_size_limit_is_refused(self) -> None:
        """A document over the size limit of the platform is not written."""
        servers = {f's{number}': server_tree() for number in range(10_500)}
        front = {'keys': 1, 'shards': {'s0': {'servers': servers}}}
        request = attrs.evolve(
            patch_request(1),
            patch={'fronts': {'huge': front}},
        )
        refused = _refuse(request, document_tree(1))
        assert refused.problems[0].allowed == 'at most 1000000 bytes'

    def test_patch_without_effect_is_refused(self) -> None:
        """A patch that only sets default values is refused."""
        hedge = {'delay_ms': 30}
        patch = {'fronts': {'raft-search': {'hedge': hedge}}}
        request = attrs.evolve(patch_request(1), patch=patch)
        refused = _refuse(request, document_tree(1))
        assert 'does not change version 1' in refused.failure.detail

    @pytest.mark.parametrize(('base', 'known'), [(1, 4), (4, 0), (4, 4)])
    def test_outdated_platform_is_not_written(
        self,
        base: int,
        known: int,
    ) -> None:
        """Guards against a write on top of a version that was superseded."""
        refused = _refuse(patch_request(base), document_tree(1), known)
        assert refused.failure.code is FailureCode.PLATFORM
        assert refused.failure.verdict is Verdict.NOT_RUN

    def test_unreadable_document_is_not_overwritten(self) -> None:
        """A stored document that fails the validation is not overwritten."""
        refused = _refuse(patch_request(1), {'version': 1, 'newer': {}})
        assert refused.failure.code is FailureCode.PLATFORM
        assert refused.problems[0].path == 'newer'


class TestRequest:
    """Requests of operators."""

    def test_problems_of_a_request_are_reported(self) -> None:
        """Each field of a request is validated."""
        problems = structure_request(
            {'base': -1, 'patch_id': '', 'author': 'a\nb', 'patch': []},
        ).failure()
        assert sorted(problem.path for problem in problems) == [
            'author',
            'base',
            'patch',
            'patch_id',
        ]
