"""Tests the check that accepted patches are kept."""

import pytest
from bench_builders_proof import history

from fennelfork_bench.checks._patches import check_patches
from fennelfork_bench.history._operator import (
    DocumentRead,
    PatchAccepted,
    PatchRefused,
    PatchSeen,
    PatchUnknown,
)


def _accepted(patch_id: str, version: int) -> PatchAccepted:
    return PatchAccepted(
        at_ms=100,
        operator='op-1',
        patch_id=patch_id,
        version=version,
    )


def _read(version: int, *patches: tuple[str, int]) -> DocumentRead:
    return DocumentRead(
        at_ms=900,
        version=version,
        patches=tuple(
            PatchSeen(patch_id=patch_id, version=number)
            for patch_id, number in patches
        ),
    )


_REFUSED = PatchRefused(
    at_ms=100,
    operator='op-2',
    patch_id='b',
    code='conflict',
)
_UNKNOWN = PatchUnknown(
    at_ms=100,
    operator='op-2',
    patch_id='b',
    detail='timeout',
)


class TestCheckPatches:
    """Detection of lost, duplicated and wrongly refused patches."""

    @pytest.mark.parametrize(
        'events',
        [
            (_accepted('a', 2), _accepted('b', 2)),
            (_accepted('a', 2), _accepted('a', 3)),
            (_accepted('a', 2), _read(1)),
            (_accepted('a', 2), _read(2, ('b', 2))),
            (_accepted('a', 2), _read(3, ('b', 2), ('a', 3))),
            (_REFUSED, _read(2, ('b', 2))),
            (_read(3, ('a', 2), ('a', 3)),),
        ],
    )
    def test_violations(self, events) -> None:
        """Each contradiction with the document is detected."""
        assert check_patches(history(*events))

    @pytest.mark.parametrize(
        'events',
        [
            (_accepted('a', 2), _REFUSED, _read(2, ('a', 2))),
            (_accepted('a', 2), _accepted('a', 2), _read(2, ('a', 2))),
            (_accepted('a', 2), _read(9, ('c', 8), ('d', 9))),
            (_UNKNOWN, _read(2, ('b', 2))),
            (_UNKNOWN, _read(1)),
        ],
    )
    def test_valid(self, events) -> None:
        """Conflicts, resent patches, short histories and doubt are valid."""
        assert not check_patches(history(*events))
