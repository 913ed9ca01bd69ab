"""The checker of the promise that accepted patches stay."""

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
    """Patches that are lost, doubled or wrongly refused are found."""

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
    def test_bad(self, events) -> None:
        """Each contradiction of the document is caught."""
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
    def test_near_miss(self, events) -> None:
        """A lost race, a repeat, a trimmed list and doubt are good."""
        assert not check_patches(history(*events))
