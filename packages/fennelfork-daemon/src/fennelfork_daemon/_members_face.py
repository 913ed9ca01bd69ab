"""What operators see of membership."""

from typing import Any

import attrs
import cattrs

from fennelfork import Blackboard, Member
from fennelfork_daemon._http_router import (
    HttpReply,
    HttpRequest,
    Route,
    json_reply,
)


@attrs.frozen(kw_only=True)
class MembersFace:
    """Answers operators that ask who is there."""

    _board: Blackboard

    @property
    def routes(self) -> tuple[Route, ...]:
        """The routes of this face."""
        return (Route(method='GET', path='/v1/members', handler=self.members),)

    def members(self, request: HttpRequest) -> HttpReply:
        """Give what this daemon believes of each, itself included."""
        board = self._board
        return json_reply(
            {
                'daemon': board.local.name,
                'members': [
                    _row(member) for _, member in sorted(board.members.items())
                ],
            },
        )


def _row(member: Member) -> dict[str, Any]:
    row: dict[str, Any] = cattrs.unstructure(member)
    return row
