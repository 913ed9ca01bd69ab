"""Tasks of a shard runner and their outcomes."""

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Result

from fennelfork import Failure
from fennelfork.gather import ExpectedReply, Reply
from fennelfork.home import Task, TaskStats
from fennelfork_daemon.backend._client import BackendClient, SendOptions


@attrs.frozen(kw_only=True)
class TaskOutcome:
    """Outcome of a task.

    Attributes:
        result: reply, or the failure of the task.
        stats: counts and queueing time of the task.
        server: name of the backend server that replied.
        server_ms: latency of that backend server, in milliseconds.
    """

    result: Result[Reply, Failure]
    stats: TaskStats
    server: str = ''
    server_ms: float = 0


@attrs.frozen(kw_only=True)
class SearchRequest:
    """Sub-query with the expected echo fields and the query content."""

    expected: ExpectedReply
    query: Any

    def send(
        self,
        client: BackendClient,
        sub_query: str,
        options: SendOptions,
    ) -> Result[Reply, Failure]:
        """Send one attempt under the name `sub_query`."""
        expected = attrs.evolve(self.expected, sub_query=sub_query)
        reply = client.search(expected, self.query, options)
        return reply.map(self._restore_name)

    def _restore_name(self, reply: Reply) -> Reply:
        return attrs.evolve(reply, sub_query=self.expected.sub_query)


@attrs.frozen(kw_only=True)
class RunnableTask:
    """Task of the scheduler with the data that its execution needs.

    Attributes:
        name: name of the sub-query at the root daemon.
        task: task that the scheduler handles.
        search: request for the backend servers.
        on_done: function that is called once, with the outcome.
    """

    name: str
    task: Task
    search: SearchRequest
    on_done: Callable[[TaskOutcome], None]
