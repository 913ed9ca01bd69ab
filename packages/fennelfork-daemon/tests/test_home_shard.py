"""Clients of the backend servers of a shard across configuration changes."""

import socket
from concurrent.futures import ThreadPoolExecutor

import attrs
import pytest
from daemon_builders_home import SERVER

from fennelfork import system_clock
from fennelfork.config import Server
from fennelfork.home import HomeSettings, ServerConfig
from fennelfork_daemon.home._shard import ShardRunner, shard_runner
from fennelfork_daemon.logs._logs import state_log

_TIMEOUT_S = 5


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


def _answer_and_await_close(listener: socket.socket) -> bool:
    """Answer one request; return whether the client closes the connection."""
    accepted, _ = listener.accept()
    with accepted:
        accepted.settimeout(_TIMEOUT_S)
        accepted.recv(65_536)
        accepted.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
        try:
            return not accepted.recv(1)
        except TimeoutError:
            return False


class TestConnect:
    """Guard against servers without a usable client."""

    def test_removed_server_returns(self, runner: ShardRunner) -> None:
        """A server that returns at its former address has a client."""
        _configure(runner, raft=SERVER)
        _configure(runner)
        assert not runner.clients
        _configure(runner, raft=SERVER)
        assert set(runner.clients) == {'raft'}

    def test_unchanged_server_keeps_its_client(
        self, runner: ShardRunner
    ) -> None:
        """A change of other settings does not close the connections."""
        _configure(runner, raft=SERVER)
        client = runner.clients['raft']
        _configure(runner, raft=attrs.evolve(SERVER, slots=2))
        assert runner.clients['raft'] is client

    def test_moved_server_leaves_no_connection(
        self, runner: ShardRunner
    ) -> None:
        """The idle connections to the former address are closed."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            host, port = listener.getsockname()
            former = attrs.evolve(SERVER, address=f'{host}:{port}')
            _configure(runner, raft=former)
            with ThreadPoolExecutor(1) as peer:
                closed = peer.submit(_answer_and_await_close, listener)
                runner.clients['raft'].health(_TIMEOUT_S * 1000)
                _configure(runner, raft=SERVER)
                assert closed.result()
