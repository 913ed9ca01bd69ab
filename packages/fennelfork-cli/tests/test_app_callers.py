"""Commands that use the caller API, against a scripted daemon.

Guards against a partial answer that looks complete, and against an execution
that is sent twice.
"""

from typing import Any

import pytest
from cli_builders import (
    CLOSE_CONNECTION,
    entries_answer,
    problem,
    query_answer,
    scripted_daemon,
)

_NOWHERE = '127.0.0.1:1'


class TestCaller:
    """Commands that use the caller API."""

    @pytest.mark.parametrize(('complete', 'code'), [(True, 0), (False, 5)])
    def test_query(self, complete: bool, code: int, command: Any) -> None:
        """A partial answer is marked as partial and leads to exit code 5."""
        path = '/v1/fronts/f/query'
        script: dict[str, list[Any]] = {
            path: [query_answer(complete=complete)],
        }
        with scripted_daemon(script) as daemon:
            script['/v1/entries'] = [entries_answer(daemon.address)]
            actual_code, out, _ = command(
                'query',
                'f',
                '--key=1',
                '--floor=0.4',
                '--caller',
                daemon.address,
            )
            body = daemon.posted[0][1]
        assert actual_code == code
        assert ('PARTIAL: 50.00%' in out) is not complete
        assert body['query'] == {'keys': [1]}
        assert body['coverage'] == {'mode': 'partial', 'floor': 0.4}

    def test_next_entry(self, command: Any) -> None:
        """An unreachable entry address is skipped."""
        path = '/v1/fronts/f/query'
        script: dict[str, list[Any]] = {path: [query_answer(complete=True)]}
        with scripted_daemon(script) as daemon:
            script['/v1/entries'] = [entries_answer(_NOWHERE, daemon.address)]
            code, _, _ = command('query', 'f', '--caller', daemon.address)
        assert code == 0

    def test_execute_with_a_lost_reply(self, command: Any) -> None:
        """The request is sent once; the retry options are printed, exit 4."""
        path = '/v1/fronts/f/execute'
        script: dict[str, list[Any]] = {path: [CLOSE_CONNECTION]}
        with scripted_daemon(script) as daemon:
            script['/v1/entries'] = [
                entries_answer(daemon.address) for _ in range(2)
            ]
            code, _, err = command(
                'execute',
                'f',
                '--key=1',
                '--action=issue',
                '--request-id=r9',
                '--caller',
                daemon.address,
            )
            assert len(daemon.posted) == 1
        assert code == 4
        assert '--request-id r9@t1 --ticket t1' in err

    def test_execute_refused(self, command: Any) -> None:
        """The verdict "not run" leads to exit code 3 and the retry delay."""
        path = '/v1/fronts/f/execute'
        refusal = problem(503, code='shed', retry_after_ms=70)
        script: dict[str, list[Any]] = {path: [refusal]}
        with scripted_daemon(script) as daemon:
            script['/v1/entries'] = [entries_answer(daemon.address)]
            code, _, err = command(
                'execute',
                'f',
                '--key=1',
                '--action=a',
                '--caller',
                daemon.address,
            )
        assert code == 3
        assert 'retry after 70 ms' in err
