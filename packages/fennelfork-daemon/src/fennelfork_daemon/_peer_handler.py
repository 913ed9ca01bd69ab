"""What this daemon does on the calls of its peers."""

from typing import Any

import attrs

from fennelfork import Blackboard, Member
from fennelfork_daemon._config_exchange import ConfigExchange
from fennelfork_daemon._execute_build import ExecutePeer
from fennelfork_daemon._home_calls import Home
from fennelfork_daemon._peer_codec import order_from_peer, outcome_to_peer
from fennelfork_daemon._peer_codec_view import views_to_peer
from fennelfork_daemon._peer_idl import peer


@attrs.frozen(kw_only=True)
class PeerHandler:
    """A method for each call of `peer.thrift`."""

    _board: Blackboard
    _home: Home
    _execute: ExecutePeer
    _config: ConfigExchange

    def scatter(self, request: Any) -> Any:
        """Run sub-queries as the home of their shards."""
        outcome = self._home.scatter(order_from_peer(request))
        return outcome_to_peer(outcome)

    def describe(self, request: Any) -> Any:
        """Tell what shards hold."""
        views = self._home.describe(request.front, tuple(request.shards))
        return peer.DescribeReply(shards=views_to_peer(views))

    def execute(self, request: Any) -> Any:
        """Answer a non-idempotent request under a ticket of this daemon."""
        return self._execute.execute(request)

    def fetch_config(self, request: Any) -> Any:
        """Give the configuration to a peer that has an older one."""
        return self._config.answer(request)

    def probe(self, request: Any) -> Any:
        """Answer that this daemon lives."""
        return peer.ProbeReply(
            sender=member_to_peer(self._board.local),
            gossip=[],
            reached=True,
        )


def member_to_peer(member: Member) -> Any:
    """Write what is known of a member."""
    return peer.MemberState(
        name=member.name,
        incarnation=member.incarnation,
        state=member.state.value,
        region=member.region,
        data_centre=member.data_centre,
        caller=member.caller,
        operator_address=member.operator,
        peer=member.peer,
        config_version=member.config_version,
        config_hash=member.config_hash,
    )
