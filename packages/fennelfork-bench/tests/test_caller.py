"""Tests of the caller stand-in against a scripted entry address."""

from pathlib import Path
from typing import Any

import pytest
from bench_builders_caller import (
    correct_answer,
    record,
    refusal,
    run_caller,
    serve_entry,
)

from fennelfork_bench.callers._tally import (
    Tally,
    add_latency,
    merge_parallel,
    merge_sequential,
    parse_tally,
)
from fennelfork_bench.history._caller import QueryAnswered, QueryAsked
from fennelfork_bench.history._history import read_history


@pytest.mark.process
class TestCaller:
    """Counts, checks and history of the caller process."""

    def test_counts_correct_answers(self) -> None:
        """Correct answers and the work that they report are counted."""
        with serve_entry(lambda body: (200, correct_answer(body))) as address:
            tally = run_caller(address)
        assert not tally.violations
        assert tally.counts['offered'] == tally.counts['complete'] == 20
        assert tally.counts['sub_queries'] == 40
        assert tally.counts['hedges'] == 20
        assert tally.answer_latency.get_total_count() == 20

    def test_counts_refusals_and_lost_requests(self) -> None:
        """Refusals count by code and verdict, closed connections as lost."""
        with serve_entry(_refuse_even_close_odd) as address:
            tally = run_caller(address)
        assert tally.counts['refused'] == tally.counts['not_run'] == 10
        assert tally.counts['code_queue_full'] == 10
        assert tally.counts['lost'] == 10
        assert tally.refusal_latency.get_total_count() == 10

    @pytest.mark.parametrize(
        ('changes', 'promise'),
        [
            ({'records': []}, 'true_coverage'),
            ({'request_id': 'other'}, 'own_answer'),
            ({'snapshot': 2}, 'one_snapshot'),
            ({'records': [{'key': 1, 'text': 'not so'}]}, 'one_snapshot'),
            ({'records': [record(1), record(1)]}, 'own_answer'),
        ],
    )
    def test_finds_wrong_answers(
        self, changes: dict[str, Any], promise: str
    ) -> None:
        """An answer that violates a guarantee is reported."""
        with serve_entry(
            lambda body: (200, correct_answer(body, **changes))
        ) as address:
            tally = run_caller(address, count=1)
        assert promise in ' '.join(tally.violations)

    def test_malformed_answer_is_lost(self) -> None:
        """An answer without the required fields counts as lost."""
        with serve_entry(lambda body: (200, {})) as address:
            tally = run_caller(address, count=2)
        assert tally.counts['lost'] == 2

    def test_limits_requests_in_flight(self) -> None:
        """Requests above the limit are not sent but counted."""
        with serve_entry(lambda body: (200, correct_answer(body))) as address:
            tally = run_caller(address, open_requests=1, link_ms=500, count=10)
        assert tally.counts['given_up'] > 0
        answered = tally.counts['answered']
        assert answered + tally.counts['given_up'] == 10

    def test_writes_its_history(self, tmp_path: Path) -> None:
        """The history file contains both events of each request."""
        path = tmp_path / 'history'
        with serve_entry(lambda body: (200, correct_answer(body))) as address:
            run_caller(address, count=3, history=path)
        history = read_history(path)
        assert len(history.of_type(QueryAsked)) == 3
        assert len(history.of_type(QueryAnswered)) == 3


class TestTally:
    """Merging and serialisation of tallies."""

    def test_merges_counts_and_histograms(self) -> None:
        """Durations add up for sequential loads, not for parallel loads."""
        parts = [_tally(10), _tally(30)]
        assert merge_parallel(parts).span_ms == 30
        assert merge_sequential(parts).span_ms == 40
        assert merge_sequential(parts).counts['answered'] == 2
        assert merge_sequential(parts).answer_quantile_ms(1) == pytest.approx(
            30, rel=0.01
        )

    def test_json_round_trip(self) -> None:
        """Parsing a serialised tally returns the same tally."""
        read = parse_tally(_tally(10).to_json())
        assert read.counts == _tally(10).counts
        assert read.answer_quantile_ms(0.5) == pytest.approx(10, rel=0.01)


def _refuse_even_close_odd(body: dict[str, Any]) -> Any:
    number = int(body['request_id'].rpartition('-')[2])
    return None if number % 2 else (503, refusal(body))


def _tally(latency_ms: float) -> Tally:
    tally = Tally(span_ms=latency_ms)
    tally.counts['answered'] = 1
    add_latency(tally.answer_latency, latency_ms)
    return tally
