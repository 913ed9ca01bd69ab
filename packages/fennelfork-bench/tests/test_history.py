"""Tests that histories are written, read and merged without loss."""

from pathlib import Path

import pytest
from bench_builders_proof import (
    execute_asked,
    execute_ran,
    partial_answer,
    query_asked,
    refused,
)
from cattrs import BaseValidationError

from fennelfork_bench.history._caller import Asked
from fennelfork_bench.history._daemon import FaultChanged, VersionSeen
from fennelfork_bench.history._history import (
    merge_events,
    read_history,
    write_history,
)
from fennelfork_bench.history._operator import DocumentRead, PatchSeen


class TestFile:
    """Serialisation of histories as JSON Lines."""

    def test_round_trip(self, tmp_path: Path) -> None:
        """A history that is written and read back is equal."""
        complete_history = merge_events(
            (
                query_asked(),
                partial_answer(),
                refused(),
                execute_ran(),
                VersionSeen(at_ms=1, daemon='vm-1', version=2, digest='d'),
                FaultChanged(at_ms=2, fault='kill', target='vm-1', active=True),
                DocumentRead(
                    at_ms=3,
                    version=2,
                    patches=(PatchSeen(patch_id='p', version=2),),
                ),
            )
        )
        path = tmp_path / 'history.jsonl'
        write_history(path, complete_history)
        assert read_history(path) == complete_history

    def test_unknown_field(self, tmp_path: Path) -> None:
        """A line with an unknown field is rejected, not ignored."""
        path = tmp_path / 'history.jsonl'
        path.write_text('{"event": "Started", "at_ms": 1, "extra": 2}\n')
        with pytest.raises(BaseValidationError):
            read_history(path)


class TestGather:
    """Merging the events of several processes into one history."""

    def test_order(self) -> None:
        """Events are sorted by time; equal times keep the given order."""
        first = query_asked(at_ms=1)
        second = query_asked(at_ms=2, attempt='a')
        third = query_asked(at_ms=2, attempt='b')
        merged = merge_events((second,), (third, first))
        assert merged.events == (first, second, third)

    def test_of_subclasses(self) -> None:
        """Selecting a class includes the events of its subclasses."""
        merged = merge_events((query_asked(), execute_asked(), refused()))
        assert merged.of_type(Asked) == (query_asked(), execute_asked())
