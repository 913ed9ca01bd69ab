"""What the runner of a shard is asked for, and what came of it."""

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
    """How a task ended.

    Attributes:
        result: a reply, or why there is none.
        effort: what was done for it.
        server: which server answered.
        server_ms: how long that server took.
    """

    result: Result[Reply, Failure]
    stats: TaskStats
    server: str = ''
    server_ms: float = 0


@attrs.frozen(kw_only=True)
class SearchRequest:
    """A sub-query: what its reply must echo, and the query's content."""

    expected: ExpectedReply
    query: Any

    def send(
        self,
        client: BackendClient,
        sub_query: str,
        options: SendOptions,
    ) -> Result[Reply, Failure]:
        """Send one copy under the name `sub_query`."""
        expected = attrs.evolve(self.expected, sub_query=sub_query)
        reply = client.search(expected, self.query, options)
        return reply.map(self._restore_name)

    def _restore_name(self, reply: Reply) -> Reply:
        return attrs.evolve(reply, sub_query=self.expected.sub_query)


@attrs.frozen(kw_only=True)
class RunnableTask:
    """A task of the scheduler with all that is needed to carry it out.

    Attributes:
        name: of the sub-query, as the root knows it.
        task: what the scheduler decides on.
        order: what is sent.
        done: called once, with the outcome.
    """

    name: str
    task: Task
    search: SearchRequest
    on_done: Callable[[TaskOutcome], None]
