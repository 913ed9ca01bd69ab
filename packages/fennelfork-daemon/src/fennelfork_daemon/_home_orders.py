"""What the runner of a shard is asked for, and what came of it."""

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Result

from fennelfork import (
    Effort,
    Expected,
    Failure,
    Reply,
    Task,
)
from fennelfork_daemon._backend_client import (
    BackendClient,
    ExecuteCall,
    Sending,
)


@attrs.frozen(kw_only=True)
class Outcome:
    """How a task ended.

    Attributes:
        result: a reply, an execution's outcome, or why there is neither.
        effort: what was done for it.
        server: which server answered.
        server_ms: how long that server took.
    """

    result: Result[Any, Failure]
    effort: Effort
    server: str = ''
    server_ms: float = 0


@attrs.frozen(kw_only=True)
class SearchOrder:
    """A sub-query: what its reply must echo, and the query's content."""

    expected: Expected
    query: Any

    def send(
        self,
        client: BackendClient,
        sub_query: str,
        sending: Sending,
    ) -> Result[Reply, Failure]:
        """Send one copy under the name `sub_query`."""
        expected = attrs.evolve(self.expected, sub_query=sub_query)
        reply = client.search(expected, self.query, sending)
        return reply.map(self._rename)

    def _rename(self, reply: Reply) -> Reply:
        return attrs.evolve(reply, sub_query=self.expected.sub_query)


@attrs.frozen(kw_only=True)
class ExecutionOrder:
    """An execution, which is not idempotent."""

    request_id: str
    key: int
    action: str

    def send(
        self,
        client: BackendClient,
        sub_query: str,
        sending: Sending,
    ) -> Result[str, Failure]:
        """Send it under the name `sub_query`."""
        call = ExecuteCall(
            request_id=self.request_id,
            sub_query=sub_query,
            key=self.key,
            action=self.action,
        )
        return client.execute(call, sending)


@attrs.frozen(kw_only=True)
class Errand:
    """A task of the scheduler with all that is needed to carry it out.

    Attributes:
        name: of the sub-query, as the root knows it.
        task: what the scheduler decides on.
        order: what is sent.
        done: called once, with the outcome.
    """

    name: str
    task: Task
    order: SearchOrder | ExecutionOrder
    done: Callable[[Outcome], None]
