"""Clients of the backend servers of a shard across configuration changes."""

import attrs
import pytest

from fennelfork import system_clock
from fennelfork.config import Server
from fennelfork.home import HomeSettings, ServerConfig
from fennelfork_daemon.home._shard import ShardRunner, shard_runner
from fennelfork_daemon.logs._logs import state_log

_SERVER = Server(
    address='127.0.0.1:1',
    data_centre='dc-1',
    slots=1,
    connections=1,
    connect_ms=1,
)


@pytest.fixture
def runner() -> ShardRunner:
    """Return the runner of a shard without servers."""
    return shard_runner(
        system_clock(),
        'vm-1',
        1024,
        lambda failure: None,
        state_log(shard='low'),
    )


def _configure(runner: ShardRunner, **servers: Server) -> None:
    runner.scheduler.servers.configure(
        HomeSettings(),
        [
            ServerConfig(
                name=name,
                slots=server.slots,
                connections=server.connections,
                address=server.address,
            )
            for name, server in servers.items()
        ],
    )
    runner.connect(servers)


class TestConnect:
    """Guard against servers without a usable client."""

    def test_removed_server_returns(self, runner: ShardRunner) -> None:
        """A server that returns at its former address has a client."""
        _configure(runner, raft=_SERVER)
        _configure(runner)
        assert not runner.clients
        _configure(runner, raft=_SERVER)
        assert set(runner.clients) == {'raft'}

    def test_unchanged_server_keeps_its_client(
        self, runner: ShardRunner
    ) -> None:
        """A change of other settings does not close the connections."""
        _configure(runner, raft=_SERVER)
        client = runner.clients['raft']
        _configure(runner, raft=attrs.evolve(_SERVER, slots=2))
        assert runner.clients['raft'] is client
