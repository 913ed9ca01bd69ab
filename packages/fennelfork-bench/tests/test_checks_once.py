"""Tests the check that non-idempotent requests run at most once."""

from bench_builders_proof import execute_ran, history, query_ran

from fennelfork_bench.checks._once import check_at_most_once


class TestCheckAtMostOnce:
    """Detection of requests that ran twice."""

    def test_violations(self) -> None:
        """Two runs of one request on two servers are detected."""
        again = execute_ran(at_ms=130, server='raft-b')
        found = check_at_most_once(history(execute_ran(), again))
        assert [broken.events for broken in found] == [
            (execute_ran(), again),
        ]

    def test_two_tickets(self) -> None:
        """Two runs of one request with two tickets are detected."""
        runs = (
            execute_ran(request_id='issue-1@t1'),
            execute_ran(request_id='issue-1@t2'),
        )
        assert check_at_most_once(history(*runs))

    def test_valid(self) -> None:
        """Two requests for one key and hedged queries are valid."""
        complete_history = history(
            execute_ran(),
            execute_ran(request_id='req-2'),
            query_ran(),
            query_ran(server='raft-b'),
        )
        assert not check_at_most_once(complete_history)
