"""The caller stand-in against a scripted entry."""

from pathlib import Path
from typing import Any

import pytest
from bench_builders_caller import (
    entry,
    record,
    refusal,
    run_caller,
    true_answer,
)

from fennelfork_bench.callers._tally import (
    Tally,
    add_latency,
    beside,
    in_turn,
    parse_tally,
)
from fennelfork_bench.history._caller import QueryAnswered, QueryAsked
from fennelfork_bench.history._history import read_history


@pytest.mark.process
class TestCaller:
    """What a caller counts, checks and writes."""

    def test_counts_true_answers(self) -> None:
        """Every true answer counts, with the work it reports."""
        with entry(lambda body: (200, true_answer(body))) as address:
            tally = run_caller(address)
        assert not tally.violations
        assert tally.counts['offered'] == tally.counts['complete'] == 20
        assert tally.counts['sub_queries'] == 40
        assert tally.counts['hedges'] == 20
        assert tally.answers.get_total_count() == 20

    def test_counts_refusals_and_lost_requests(self) -> None:
        """Refusals are counted by code and verdict, cuts as lost."""
        with entry(_refuse_even_cut_odd) as address:
            tally = run_caller(address)
        assert tally.counts['refused'] == tally.counts['not_run'] == 10
        assert tally.counts['code_queue_full'] == 10
        assert tally.counts['lost'] == 10
        assert tally.refusals.get_total_count() == 10

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
    def test_finds_untrue_answers(
        self, changes: dict[str, Any], promise: str
    ) -> None:
        """An answer that breaks a promise is named."""
        with entry(lambda body: (200, true_answer(body, **changes))) as address:
            tally = run_caller(address, count=1)
        assert promise in ' '.join(tally.violations)

    def test_an_unreadable_answer_is_lost(self) -> None:
        """A reply without the fields of the contract is no answer."""
        with entry(lambda body: (200, {})) as address:
            tally = run_caller(address, count=2)
        assert tally.counts['lost'] == 2

    def test_is_open_and_bounded(self) -> None:
        """Requests due while too many are open are given up and counted."""
        with entry(lambda body: (200, true_answer(body))) as address:
            tally = run_caller(address, open_requests=1, link_ms=500, count=10)
        assert tally.counts['given_up'] > 0
        answered = tally.counts['answered']
        assert answered + tally.counts['given_up'] == 10

    def test_writes_its_history(self, tmp_path: Path) -> None:
        """The file holds both events of every request."""
        path = tmp_path / 'history'
        with entry(lambda body: (200, true_answer(body))) as address:
            run_caller(address, count=3, history=path)
        history = read_history(path)
        assert len(history.of(QueryAsked)) == 3
        assert len(history.of(QueryAnswered)) == 3


class TestTally:
    """Sums of tallies."""

    def test_adds_counts_and_histograms(self) -> None:
        """Spans of loads side by side do not add up, those in turn do."""
        parts = [_tally(10), _tally(30)]
        assert beside(parts).span_ms == 30
        assert in_turn(parts).span_ms == 40
        assert in_turn(parts).counts['answered'] == 2
        assert in_turn(parts).quantile_ms(1) == pytest.approx(30, rel=0.01)

    def test_survives_the_way_through_json(self) -> None:
        """What a process prints is read back as it was."""
        read = parse_tally(_tally(10).to_json())
        assert read.counts == _tally(10).counts
        assert read.quantile_ms(0.5) == pytest.approx(10, rel=0.01)


def _refuse_even_cut_odd(body: dict[str, Any]) -> Any:
    number = int(body['request_id'].rpartition('-')[2])
    return None if number % 2 else (503, refusal(body))


def _tally(latency_ms: float) -> Tally:
    tally = Tally(span_ms=latency_ms)
    tally.counts['answered'] = 1
    add_latency(tally.answers, latency_ms)
    return tally
