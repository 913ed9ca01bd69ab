"""Several searches in one call, each with a slot and a verdict of its own."""

from typing import Final

import attrs
from eventlet import GreenPile
from returns.pipeline import is_successful

from fennelfork_bench.backend_server._delivery import Spoiler
from fennelfork_bench.backend_server._engine import search, search_subject
from fennelfork_bench.backend_server._log import EventKind
from fennelfork_bench.backend_server._messages import (
    MultiSearchReply,
    MultiSearchRequest,
    Problem,
    SearchReply,
    SearchRequest,
)
from fennelfork_bench.backend_server._response import failure_problem
from fennelfork_bench.backend_server._state import ServerState

_MOST_SEARCHES: Final = 256


def search_all(
    state: ServerState,
    spoiler: Spoiler,
    request: MultiSearchRequest,
) -> MultiSearchReply:
    """Answer every search of a call once all of them have ended.

    Faults spoil the replies one by one; those that touch the connection do
    not apply.

    Raises:
        ValueError: if there are too many searches.
    """
    if len(request.searches) > _MOST_SEARCHES:
        raise ValueError(f'more than {_MOST_SEARCHES} searches')
    pile = GreenPile(_MOST_SEARCHES)
    part = _Part(state=state, spoiler=spoiler)
    for one in request.searches:
        pile.spawn(part.reply, one)
    return MultiSearchReply(replies=tuple(pile))


@attrs.frozen(kw_only=True)
class _Part:
    """Answers the searches of one call, each by itself."""

    _state: ServerState
    _spoiler: Spoiler

    def reply(self, request: SearchRequest) -> SearchReply | Problem:
        """Answer one search."""
        state = self._state
        subject = search_subject(request)
        state.log.add(EventKind.RECEIVED, subject)
        faults = state.faults.draw(subject.call)
        outcome = search(state, request, faults)
        if not is_successful(outcome):
            held = state.holdings.held
            return failure_problem(subject, outcome.failure(), held)
        state.log.add(EventKind.REPLIED, subject)
        kinds = {rule.kind for rule in faults}
        return self._spoiler.spoil(outcome.unwrap(), kinds)
