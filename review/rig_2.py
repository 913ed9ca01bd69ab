"""Stand-ins of the users' platform for the cases of the second review.

One process holds the store, the backend servers and the clients; the daemons
run as separate processes with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'records.example'
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
ZONES = ('east-a', 'west-b', 'south-c')
# All processes that the case has started.
_STARTED = []


def now():
    """Return the monotonic time in seconds."""
    return time.monotonic()


def free_port():
    """Return a port of the loopback interface that is free now."""
    with contextlib.closing(socket.socket()) as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class CannotRun(Exception):
    """The case could not run on this machine."""


class Record:
    """Text file with what was sent, answered and run."""

    def __init__(self, folder):
        self._started = now()
        self._file = open(
            pathlib.Path(folder) / 'record.txt', 'w', encoding='utf-8'
        )

    def __call__(self, text, at=None):
        """Write one line with the time since the start."""
        at = now() if at is None else at
        self._file.write(f'{at - self._started:8.3f} {text}\n')

    def say(self, text):
        """Write one line, and print it."""
        self(text)
        print(text, flush=True)

    def close(self):
        """Close the file."""
        self._file.close()


async def read_message(reader):
    """Read one HTTP message: start line, headers and body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length', 0))
    try:
        body = await reader.readexactly(length) if length else b''
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode_response(status, body=b'', headers=()):
    """Encode an HTTP response with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class HttpServer:
    """Server on a loopback address that keeps connections open."""

    def __init__(self):
        self.port = free_port()
        self._server = None
        self._writers = set()

    @property
    def address(self):
        """Address of the server."""
        return f'127.0.0.1:{self.port}'

    async def start(self):
        """Listen on the address."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port, limit=1 << 22
        )

    async def stop(self):
        """Close the listener and all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                answer = await self.answer(*message, reader=reader)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, start_line, headers, body, reader):
        """Return the encoded response, or None to close the connection."""
        raise NotImplementedError


class Store(HttpServer):
    """Key-value store of the platform, as PROTOCOL.md describes it."""

    def __init__(self, delay_s=0.004):
        super().__init__()
        self.items = {}
        self.revision = 100
        self.leases = {}
        self.events = []
        # 'busy': each call is answered with 503. 'silent': none is answered.
        self.fault = None
        self.delay_s = delay_s
        # Rises by one each time that the store comes back from a copy.
        self.era = 1
        self._next_lease = 1
        self._changed = asyncio.Event()

    def put(self, key, raw, lease=0):
        """Write an item."""
        self.revision += 1
        item = {
            'Key': key,
            'Value': base64.b64encode(raw).decode(),
            'Revision': self.revision,
            'CreatedRev': self.items.get(key, {}).get(
                'CreatedRev', self.revision
            ),
            'LeaseId': lease,
        }
        self.items[key] = item
        self._add_event(item)

    def remove(self, key):
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event(
                {'Key': key, 'Revision': self.revision, 'Compacted': True}
            )

    def write_config(self, tree):
        """Write a configuration as the operator does."""
        self.put('op/config', json.dumps(tree).encode())

    def copy(self):
        """Return a copy of all that the store holds."""
        leases = {lease: ttl_s for lease, (ttl_s, _) in self.leases.items()}
        return (
            dict(self.items), self.revision, leases, self._next_lease,
            list(self.events),
        )

    def return_from(self, copied):
        """Come back from a copy; the time of its leases begins anew."""
        items, self.revision, leases, self._next_lease, events = copied
        self.items, self.events = dict(items), list(events)
        self.leases = {
            lease: (ttl_s, now() + ttl_s) for lease, ttl_s in leases.items()
        }
        self.era += 1
        self.fault = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def expire_leases(self):
        """Remove the keys of leases that have run out."""
        while True:
            await asyncio.sleep(0.02)
            if self.fault == 'away':
                continue
            for lease, (_ttl, until) in tuple(self.leases.items()):
                if now() >= until:
                    self._end_lease(lease)

    def _add_event(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['LeaseId'] == lease:
                self.remove(key)

    async def answer(self, start_line, headers, body, reader):
        """Answer one call."""
        if self.fault == 'silent':
            await asyncio.Event().wait()
        await asyncio.sleep(self.delay_s)
        if self.fault in ('busy', 'away'):
            return encode_response(503)
        method, target, _version = start_line.split(' ')
        parts = urlsplit(target)
        query = {
            name: texts[-1]
            for name, texts in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        tree = json.loads(body) if body else {}
        status, reply = await self._call(method, parts.path, query, tree)
        if self.fault == 'silent':
            await asyncio.Event().wait()
        if self.fault in ('busy', 'away'):
            return encode_response(503)
        return encode_response(
            status,
            json.dumps(reply).encode(),
            (
                ('Content-Type', 'application/json'),
                ('Store-Era', str(self.era)),
            ),
        )

    async def _call(self, method, path, query, tree):
        name, _, number = path.removeprefix('/-/').partition('/')
        if name == 'kv-range':
            return self._range(query)
        if name == 'kv-key':
            item = self.items.get(query['Key'])
            return (404, {}) if item is None else (200, item)
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-lease':
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl_s = tree['TtlMs'] / 1000
            self.leases[lease] = (ttl_s, now() + ttl_s)
            return 200, {'LeaseId': lease, 'TtlMs': tree['TtlMs']}
        if name == 'kv-keep':
            return self._keep(int(number))
        if name == 'kv-lease-end':
            known = int(number) in self.leases
            self._end_lease(int(number))
            return (200 if known else 404), {}
        if name == 'kv-txn':
            return self._txn(tree)
        return 404, {}

    def _range(self, query):
        prefix, after = query.get('Prefix', ''), query.get('after', '')
        keys = [
            key for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return 200, {
            'items': [self.items[key] for key in keys[:500]],
            'HasMore': len(keys) > 500,
            'AtRev': self.revision,
        }

    async def _watch(self, query):
        after = int(query['after'])
        if after > self.revision:
            return 410, {}
        until = now() + min(30.0, int(query['WaitMs']) / 1000)
        while True:
            changed = self._changed
            events = [
                event for event in self.events
                if event['Revision'] > after
                and event['Key'].startswith(query.get('Prefix', ''))
            ]
            left = until - now()
            if events or left <= 0 or self.fault:
                return 200, {'events': events, 'AtRev': self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _keep(self, lease):
        if lease not in self.leases:
            return 404, {}
        ttl_s, _until = self.leases[lease]
        self.leases[lease] = (ttl_s, now() + ttl_s)
        return 200, {}

    def _txn(self, tree):
        for row in tree.get('ExpectedRev') or ():
            found = self.items.get(row['Key'], {}).get('Revision', 0)
            if found != row['Revision']:
                return 412, {'items': []}
        for put in tree.get('Puts') or ():
            if put['Key'].startswith(('op/', 'servers/')):
                return 403, {}
            if put.get('LeaseId') and put['LeaseId'] not in self.leases:
                return 404, {}
        for put in tree.get('Puts') or ():
            raw = base64.b64decode(put['Value'])
            self.put(put['Key'], raw, put.get('LeaseId') or 0)
        for key in tree.get('Deletes') or ():
            self.remove(key)
        return 200, {'Revision': self.revision}


class Backend(HttpServer):
    """Backend server: runs `slots` requests at once and queues others."""

    def __init__(self, service, zone, instance, work_s=0.005, slots=5):
        super().__init__()
        self.service, self.zone, self.instance = service, zone, instance
        self.work_s, self.slots = work_s, slots
        # Requests that were run: time, id and headers.
        self.runs = []
        self._slots = asyncio.Semaphore(slots)

    def register(self, store, state='ready', **fields):
        """Write the entry of the server."""
        entry = {
            'Service': self.service, 'Address': self.address,
            'Zone': self.zone, 'Version': 'v1', 'Slots': self.slots,
            'State': state, 'WarmupLeftMs': 0, 'SeqNo': 1, **fields,
        }
        store.put(f'servers/{self.instance}', json.dumps(entry).encode())

    async def answer(self, start_line, headers, body, reader):
        """Run one request."""
        request_id = headers.get('x-request-id', '')
        expected = headers.get('x-expect-instance')
        if expected not in (None, self.instance):
            return encode_response(421)
        async with self._slots:
            self.runs.append((now(), request_id, start_line, headers, body))
            await asyncio.sleep(self.work_s)
        stamp = f'{self.service}.{request_id}.{self.instance}'
        return encode_response(
            200,
            f'{start_line.split(" ")[1]}|{request_id}'.encode(),
            (('X-Request-Id', request_id), ('X-Server-Stamp', stamp)),
        )


SETTINGS = """
NodeName = "{name}"
Role = "fennelforkd"
NodeClass = "front"
Serves = ["front","control","directory"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "{zone}"
PortRange = [{peer},{peer}]
Seeds = []
Bootstrap = true
FaultCounted = false
Discovery = "platform"
EntryType = "directory"
HeartbeatMs = 1200
Contracts = {contracts}
[Zones]
east-a = "east-a"
west-b = "west-b"
south-c = "south-c"
[Listen]
Front = "127.0.0.1:{front}"
Readiness = "127.0.0.1:{ready}"
Control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[Limits]
CpuShare = 0.537
CpuCores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
StableWindowMs = 5000
AckMs = 6000
SyncS = 4
DrainMs = 3000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxSkewMs = 15000
StrictRevoke = false
RevokeMs = 5000
RetryBudget = 0.2
BudgetWindowS = 10
RetrySlack = 58
QuotaWindowS = 5
QuotaExcess = 0.1
QuotaSlack = 20
RecoveryS = 12
ttl_max_s = 5
[platform]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
MaxValueBytes = 1048576
MinTtlMs = 1000
"""
CONTRACTS = (
    '["base","drain","config","cost","retry","recover","scatter","platform"]'
)


class Daemon:
    """Daemon of the deploy file, as a process of its own."""

    def __init__(self, folder, name, zone, store, contracts=CONTRACTS):
        self.name, self.zone = name, zone
        self.ports = {
            role: free_port()
            for role in ('front', 'ready', 'control', 'directory', 'peer')
        }
        self._folder = pathlib.Path(folder)
        self.settings = self._folder / f'{name}.toml'
        self.settings.write_text(
            SETTINGS.format(
                name=name, zone=zone, store=store, contracts=contracts,
                **self.ports,
            ),
            encoding='utf-8',
        )
        self.process = None

    def add_bounds(self, lines):
        """Add lines to the bounds in the settings file."""
        text = self.settings.read_text(encoding='utf-8')
        self.settings.write_text(
            text.replace('[Bounds]\n', f'[Bounds]\n{lines}'), encoding='utf-8'
        )

    @property
    def front(self):
        """Address for clients."""
        return '127.0.0.1', self.ports['front']

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        (role,) = deploy['roles'].values()
        deps = ROOT / 'target' / 'deps'
        if not deps.is_dir():
            raise CannotRun('target/deps is missing: run deploy/build.sh')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment |= {
            'PYTHONPATH': str(deps),
            'PYTHONDONTWRITEBYTECODE': '1',
            'FENNELFORK_NODE_FILE': str(self.settings),
        }
        with open(self._folder / f'{self.name}.log', 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(), cwd=ROOT, env=environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )
        _STARTED.append(self.process)

    def signal(self, number):
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process, if it runs, and wait for its end."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        """Whether the platform's readiness check gets 200."""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            answer = await request(
                ('127.0.0.1', self.ports['ready']), '/-/ready', '', timeout_s=1
            )
            return answer is not None and answer[0] == 200
        return False

    async def wait_ready(self, timeout_s=20):
        """Wait until the daemon is ready."""
        until = now() + timeout_s
        while now() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'{self.name} is not ready')


async def request(
    address, target, request_id, *, method='GET', headers=(), body=None,
    timeout_s=5.0, deadline_ms=None,
):
    """Send one request on a new connection.

    Returns:
        The status, the headers and the body, or None without an answer.
    """
    lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
    if request_id:
        lines.append(f'X-Request-Id: {request_id}')
    if deadline_ms is not None:
        lines.append(f'X-Deadline-Ms: {deadline_ms}')
    lines += [f'{name}: {text}' for name, text in headers]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    lines += ['Connection: close', '', '']
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write('\r\n'.join(lines).encode('latin-1') + (body or b''))
            await writer.drain()
            message = await read_message(reader)
        finally:
            writer.close()
    if message is None:
        return None
    return int(message[0].split(' ')[1]), message[1], message[2]


def route(name, prefix, service, **fields):
    """Return a route to one service, as operators write it."""
    return {
        'Name': name, 'Host': HOST, 'Prefix': prefix, 'Service': service,
        'RouteType': 'safe', 'TimeoutMs': 4000, 'LatencyGoalMs': 300,
        'Priority': 1, 'MaxAttempts': 2, **fields,
    }


def config(version, routes, services, **fields):
    """Return a configuration, as operators write it."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': name, 'MaxConns': 40, 'HealthPath': '/health'}
            for name in services
        ],
        'Limits': {
            'MaxHeaderBytes': 16384, 'MaxBodyBytes': 262144,
            'HeaderTimeoutMs': 2000, 'IdleTimeoutMs': 15000,
        },
        **fields,
    }


async def end_all(record):
    """End all tasks but this one, and all processes that were started."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    for process in _STARTED:
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        await process.wait()
    ended = sum(process.returncode is not None for process in _STARTED)
    record(f'processes: {len(_STARTED)} started, {ended} have ended')


def run_case(folder, main):
    """Run a case and return its exit code.

    Args:
        folder: folder of the case, for `record.txt`.
        main: coroutine function of a record, a temporary folder and whether
            the disruption takes place; returns whether the rule was kept.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    scratch = tempfile.mkdtemp(prefix='case-')

    async def bounded():
        loop, this_task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, this_task.cancel)
        try:
            async with asyncio.timeout(110):
                return await main(record, scratch, trouble)
        finally:
            await end_all(record)

    try:
        held = asyncio.run(bounded())
    except (
        CannotRun, TimeoutError, OSError, asyncio.CancelledError
    ) as error:
        record.say(f'could not run: {error!r}')
        return EXIT_NOT_RUN
    finally:
        record.close()
        if os.environ.get('KEEP'):
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    return EXIT_HELD if held else EXIT_BROKEN
