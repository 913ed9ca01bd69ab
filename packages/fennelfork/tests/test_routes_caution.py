"""Limit on the backend servers that one poison request can crash.

Guards against a fan-out whose retries crash a second server of each shard.
"""

from core_builders_routes import (
    SERVER_CRASH,
    UNREACHABLE,
    RoutingDaemon,
    fan_out,
    route,
)

from fennelfork.routes import Dispatch, FinishReason, Send


def crash_servers(request: Dispatch[str], sends: list[Send]) -> list[Send]:
    """Crash the server of each attempt; return the attempts sent then."""
    return [
        retry
        for send in sends
        for retry in request.on_failure(send.attempt, SERVER_CRASH, 1)
    ]


class TestUnknownRequest:
    """A request without earlier crashes."""

    def setup_method(self) -> None:
        """Send the request to ten shards."""
        self.request = RoutingDaemon().dispatch(route(target=fan_out(10)))
        self.sends = self.request.start(0)

    def test_all_servers_crash(self) -> None:
        """One isolated attempt is sent instead of a retry to each shard."""
        isolated = crash_servers(self.request, self.sends)
        assert [send.alone for send in isolated] == [True]
        assert not crash_servers(self.request, isolated)
        assert self.request.finish_reason(2) is FinishReason.SETTLED

    def test_servers_crashed_together(self) -> None:
        """All retries are sent after the response to the isolated attempt."""
        isolated = crash_servers(self.request, self.sends)
        released = self.request.on_response(isolated[0].attempt, 'part', 2)
        assert len(released) == 9
        for send in released:
            self.request.on_response(send.attempt, 'part', 3)
        assert self.request.finish_reason(3) is FinishReason.SETTLED
        assert self.request.response_count == 10

    def test_other_services_respond(self) -> None:
        """A request with responses is no poison request: no retry is deferred."""
        for send in self.sends[2:]:
            self.request.on_response(send.attempt, 'part', 1)
        retries = crash_servers(self.request, self.sends[:1])
        released = self.request.on_failure(
            self.sends[1].attempt, SERVER_CRASH, 2
        )
        assert len(retries) == 1
        assert not released
        answered = self.request.on_response(retries[0].attempt, 'part', 3)
        assert [send.server.service for send in answered] == ['shard-1']

    def test_response_after_two_crashes(self) -> None:
        """A response lets a deferred retry proceed."""
        isolated = crash_servers(self.request, self.sends[:2])
        assert len(isolated) == 1
        released = self.request.on_response(self.sends[5].attempt, 'part', 2)
        assert [send.server.service for send in released] == ['shard-1']

    def test_isolated_attempt_finds_no_server(self) -> None:
        """The next service is tried if an isolated attempt reaches no server."""
        isolated = crash_servers(self.request, self.sends)
        isolated = self.request.on_failure(isolated[0].attempt, UNREACHABLE, 2)
        assert [send.server.service for send in isolated] == ['shard-1']
        assert isolated[0].alone

    def test_one_service(self) -> None:
        """A request to one service gets one isolated retry."""
        request = RoutingDaemon().dispatch(route())
        retries = crash_servers(request, request.start(0))
        assert [send.alone for send in retries] == [True]
        assert not crash_servers(request, retries)


class TestSuspected:
    """A request with earlier crashes."""

    def setup_method(self) -> None:
        """Send a request to ten shards that crashed servers of two shards."""
        self.request = RoutingDaemon().dispatch(
            route(target=fan_out(10)),
            suspect=('shard-7', 'shard-4'),
        )
        self.sends = self.request.start(0)

    def test_one_server(self) -> None:
        """One attempt is sent, to a service with earlier crashes."""
        assert [send.server.service for send in self.sends] == ['shard-4']
        assert self.sends[0].alone
        assert self.request.finish_reason(1) is None

    def test_crashes_another_server(self) -> None:
        """No attempt follows the crash of the isolated attempt."""
        assert not crash_servers(self.request, self.sends)
        assert self.request.finish_reason(2) is FinishReason.SETTLED

    def test_response(self) -> None:
        """A response to the isolated attempt lets all attempts proceed."""
        released = self.request.on_response(self.sends[0].attempt, 'part', 2)
        assert len(released) == 9
        assert not any(send.alone for send in released)

    def test_late_response(self) -> None:
        """The isolated attempt is hedged if its server is slow."""
        hedges = self.request.send_hedges(200)
        assert [send.alone for send in hedges] == [True]
        assert self.request.on_response(hedges[0].attempt, 'part', 210)

    def test_service_without_servers(self) -> None:
        """Another service is tried if the suspected one has no server."""
        daemon = RoutingDaemon()
        wanted = route(target=fan_out(3))
        request = daemon.dispatch(wanted, suspect=('shard-0',))
        for place in ('here', 'near', 'far'):
            daemon.directory.remove(f'shard-0/{place}')
        sends = request.start(0)
        assert [send.server.service for send in sends] == ['shard-1']
