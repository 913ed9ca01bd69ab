"""What the runner of a shard is asked for, and what came of it."""

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Result

from fennelfork import Failure
from fennelfork.gather import ExpectedReply, Reply
from fennelfork.home import Task, TaskStats
from fennelfork_daemon.backend._client import BackendClient, Sending


@attrs.frozen(kw_only=True)
class Outcome:
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
class SearchOrder:
    """A sub-query: what its reply must echo, and the query's content."""

    expected: ExpectedReply
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
    order: SearchOrder
    done: Callable[[Outcome], None]
