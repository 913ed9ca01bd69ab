"""Stand-in backend servers that record when requests arrive, and with which time."""

import asyncio
import contextlib
import json
import re
import socket
import threading
import time
from collections.abc import Iterator

import attrs
from platform_builders import registration

from fennelfork_platform_bench._fleet import ZONES, PlatformFleet
from fennelfork_platform_bench._records import (
    build_response_stamp,
    service_records,
)

_HEAD_END = b'\r\n\r\n'
_HEADER = re.compile('(?i)^([a-z-]+): *(.*?)\r?$', re.MULTILINE)
_MS_PER_S = 1000
_JOIN_S = 5


@attrs.frozen(kw_only=True)
class Arrival:
    """Arrival of a request at a server.

    Attributes:
        request_id: id of the request.
        instance: server that the request was sent to.
        at_s: time of the arrival.
        left_ms: time that the server is told to have.
    """

    request_id: str
    instance: str
    at_s: float
    left_ms: float

    @property
    def ends_s(self) -> float:
        """Time until which the server may work."""
        return self.at_s + self.left_ms / _MS_PER_S


def read_arrival(head: str) -> Arrival:
    """Build the arrival of a request from its head."""
    headers = {name.lower(): text for name, text in _HEADER.findall(head)}
    return Arrival(
        request_id=headers['x-request-id'],
        instance=headers['x-expect-instance'],
        at_s=time.monotonic(),
        left_ms=float(headers['x-deadline-ms']),
    )


def instances_of(service: str) -> tuple[str, ...]:
    """Return the instances of the servers of a service, one for each zone."""
    return tuple(f'{service}-{zone}' for zone in ZONES)


@attrs.define(kw_only=True)
class ArrivalRecorder:
    """Servers of several services on one address.

    Attributes:
        silent: services whose servers take requests and never answer.
        arrivals: requests that arrived.
    """

    silent: set[str] = attrs.field(factory=set)
    arrivals: list[Arrival] = attrs.field(factory=list)
    _listener: socket.socket = attrs.field(
        factory=lambda: socket.create_server(('127.0.0.1', 0), backlog=4096)
    )
    _loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.new_event_loop
    )

    @property
    def address(self) -> str:
        """Address that the servers share."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    @contextlib.contextmanager
    def running(self) -> Iterator['ArrivalRecorder']:
        """Serve during a `with` block."""
        thread = threading.Thread(target=self._serve)
        thread.start()
        try:
            yield self
        finally:
            self._loop.call_soon_threadsafe(self._loop.stop)
            thread.join(_JOIN_S)

    def register(self, fleet: PlatformFleet, services: tuple[str, ...]) -> None:
        """Register a server of each service in each zone."""
        for service in services:
            register_servers(fleet, service, self.address)

    def of(self, request_id: str, service: str) -> list[Arrival]:
        """Return the arrivals of a request at the servers of a service."""
        return [
            arrival
            for arrival in tuple(self.arrivals)
            if arrival.request_id == request_id
            and arrival.instance in instances_of(service)
        ]

    def _serve(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(
            asyncio.start_server(self._serve_connection, sock=self._listener)
        )
        self._loop.run_forever()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:  # noqa: WPS457  # until the daemon closes the connection
                head = (await reader.readuntil(_HEAD_END)).decode()
                arrival = read_arrival(head)
                self.arrivals.append(arrival)
                service = arrival.instance.removesuffix(_zone_suffix(arrival))
                if service not in self.silent:
                    writer.write(_response(service, head, arrival))


def register_servers(
    fleet: PlatformFleet, service: str, server_address: str
) -> None:
    """Register a server of a service in each zone, all at one address."""
    for zone, instance in zip(ZONES, instances_of(service), strict=True):
        entry = registration(
            Service=service, Address=server_address, Zone=zone, Slots=20
        )
        fleet.store_client.write_key(
            f'servers/{instance}', json.dumps(entry).encode()
        )


def _zone_suffix(arrival: Arrival) -> str:
    return next(
        f'-{zone}' for zone in ZONES if arrival.instance.endswith(f'-{zone}')
    )


def _response(service: str, head: str, arrival: Arrival) -> bytes:
    body = service_records(service, head.split(' ')[1])
    stamp = build_response_stamp(service, arrival.request_id, arrival.instance)
    lines = (
        'HTTP/1.1 200 OK',
        f'X-Server-Stamp: {stamp}',
        f'X-Request-Id: {arrival.request_id}',
        f'Content-Length: {len(body)}',
    )
    return '\r\n'.join(lines).encode() + _HEAD_END + body
