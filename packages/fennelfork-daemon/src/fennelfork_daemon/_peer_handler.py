"""Handler of the peer RPC."""

from typing import Any

import attrs

from fennelfork_daemon._in_progress import InProgress
from fennelfork_daemon.config._exchange import ConfigExchange
from fennelfork_daemon.execute._build import ExecutePeerHandler
from fennelfork_daemon.home._client import Home
from fennelfork_daemon.membership._service import MembershipService
from fennelfork_daemon.peer._codec import (
    outcome_to_peer,
    scatter_request_from_peer,
)
from fennelfork_daemon.peer._codec_view import views_to_peer
from fennelfork_daemon.peer._idl import peer


@attrs.frozen(kw_only=True)
class PeerHandler:
    """Implementation of the service that `peer.thrift` defines."""

    _home: Home
    _config: ConfigExchange
    _execute: ExecutePeerHandler
    _members: MembershipService
    _in_progress: InProgress

    def scatter(self, request: Any) -> Any:
        """Run sub-queries as the home daemon of the shards."""
        with self._in_progress.count_request():
            outcome = self._home.scatter(scatter_request_from_peer(request))
            return outcome_to_peer(outcome)

    def describe(self, request: Any) -> Any:
        """Return the snapshots and key ranges of shards."""
        views = self._home.describe(request.front, tuple(request.shards))
        return peer.DescribeReply(shards=views_to_peer(views))

    def fetch_config(self, request: Any) -> Any:
        """Return the active configuration to a peer with an older version."""
        return self._config.handle_fetch(request)

    def execute(self, request: Any) -> Any:
        """Run a non-idempotent request with a ticket of this daemon."""
        with self._in_progress.count_request():
            return self._execute.execute(request)

    def probe(self, request: Any) -> Any:
        """Acknowledge a membership probe and exchange membership updates."""
        return self._members.probe(request)
