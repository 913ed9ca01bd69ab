"""Runs the searches of a multi-search, each in its own slot."""

from typing import Final

import attrs
from eventlet import GreenPile
from returns.pipeline import is_successful

from fennelfork_bench.backend_server._delivery import ReplyFaults
from fennelfork_bench.backend_server._engine import build_search_subject, search
from fennelfork_bench.backend_server._log import EventKind
from fennelfork_bench.backend_server._messages import (
    MultiSearchReply,
    MultiSearchRequest,
    Problem,
    SearchReply,
    SearchRequest,
)
from fennelfork_bench.backend_server._response import build_failure_problem
from fennelfork_bench.backend_server._state import ServerState

_MAX_SEARCHES: Final = 256


def run_searches(
    state: ServerState,
    reply_faults: ReplyFaults,
    request: MultiSearchRequest,
) -> MultiSearchReply:
    """Run all searches of a multi-search and wait until all have ended.

    Faults affect each reply separately; faults of the connection are
    ignored.

    Raises:
        ValueError: if the request contains too many searches.
    """
    if len(request.searches) > _MAX_SEARCHES:
        raise ValueError(
            f'the request contains more than {_MAX_SEARCHES} searches'
        )
    pile = GreenPile(_MAX_SEARCHES)
    runner = _SearchRunner(state=state, reply_faults=reply_faults)
    for search_request in request.searches:
        pile.spawn(runner.run_search, search_request)
    return MultiSearchReply(replies=tuple(pile))


@attrs.frozen(kw_only=True)
class _SearchRunner:
    """Runs each search of a multi-search independently."""

    _state: ServerState
    _reply_faults: ReplyFaults

    def run_search(self, request: SearchRequest) -> SearchReply | Problem:
        """Run one search and return its reply or problem."""
        state = self._state
        subject = build_search_subject(request)
        state.log.add(EventKind.RECEIVED, subject)
        faults = state.faults.draw_faults(subject.call)
        outcome = search(state, request, faults)
        if not is_successful(outcome):
            held = state.snapshots.held_snapshots
            return build_failure_problem(subject, outcome.failure(), held)
        state.log.add(EventKind.REPLIED, subject)
        kinds = {rule.kind for rule in faults}
        return self._reply_faults.corrupt(outcome.unwrap(), kinds)
