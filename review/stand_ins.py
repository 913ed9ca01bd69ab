"""Stand-ins of the store, backend servers and clients, and a small fleet.

Everything but the daemons runs in one event loop. The daemons are started with
the command of the deploy file, as processes of their own.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
ZONES = {'zone-a': 'region-a', 'zone-b': 'region-b', 'zone-c': 'region-c'}
HEARTBEAT_MS = 1200
STABLE_WINDOW_S = 5
# Time after which a case counts as one that could not run.
LIMIT_S = 110
# Bounds of the site plute-cautare.
SETTINGS = """
NodeName = "{name}"
Role = "fennelforkd"
NodeClass = "front"
Serves = ["front", "control", "directory"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "{region}"
PortRange = [{peer}, {peer}]
Seeds = []
Bootstrap = true
FaultCounted = false
Discovery = "platform"
EntryType = "directory"
HeartbeatMs = 1200
Contracts = [
    "base", "drain", "config", "cost", "retry", "recover", "scatter",
    "platform",
]
[Zones]
zone-a = "region-a"
zone-b = "region-b"
zone-c = "region-c"
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
RetryBudget = 0.2
BudgetWindowS = 10
RetrySlack = 58
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


def free_port():
    """Return a free port of the loopback interface."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """Lines about what was sent, answered and run, for `record.txt`."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._started = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started

    def add(self, text):
        """Write one line with the current time."""
        self._file.write(f'{self.now():9.3f} {text}\n')

    def close(self):
        """Close the file."""
        self._file.close()


async def read_message(reader):
    """Read one HTTP message; return its start line, headers and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    start, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        if name:
            headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return start, headers, body


def message(start, headers=(), body=b''):
    """Build an HTTP message with a length."""
    lines = [start, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Store:
    """Key-value store of the platform, with leases and watches."""

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.events = []
        self.compacted = 0
        self.leases = {}
        self.address = ''
        self._changed = asyncio.Event()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{port}'
        self._expiry = asyncio.create_task(self._expire())

    def put(self, key, tree, lease=0, raw=None):
        """Write an item; the return is the acknowledgement."""
        text = base64.b64encode(
            json.dumps(tree).encode() if raw is None else raw
        ).decode()
        return self._put_encoded(key, text, lease)

    def delete(self, key):
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._notify(
                {'Key': key, 'Revision': self.revision, 'Compacted': True}
            )

    def _put_encoded(self, key, text, lease):
        self.revision += 1
        before = self.items.get(key, {})
        item = {
            'Key': key,
            'Value': text,
            'Revision': self.revision,
            'CreatedRev': before.get('CreatedRev', self.revision),
            'LeaseId': lease,
        }
        self.items[key] = item
        self._notify(item)
        return self.revision

    def _notify(self, event):
        self.events.append(event)
        if len(self.events) > 5000:
            self.compacted = self.events[0]['Revision']
            self.events = self.events[1:]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_ttl, until) in tuple(self.leases.items()):
                if until <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        known = self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['LeaseId'] == lease:
                self.delete(key)
        return known is not None

    async def _serve(self, reader, writer):
        try:
            while True:
                start, _headers, body = await read_message(reader)
                method, target, _version = start.split(' ')
                status, tree = await self._answer(method, target, body)
                reply = message(
                    f'HTTP/1.1 {status} Status',
                    [('Content-Type', 'application/json')],
                    json.dumps(tree).encode(),
                )
                writer.write(reply)
                await writer.drain()
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: texts[-1] for name, texts in parse_qs(url.query).items()}
        tree = json.loads(body) if body else {}
        await asyncio.sleep(0.002)
        if url.path == '/-/kv-range':
            return self._range(query)
        if url.path == '/-/kv-watch':
            return await self._watch(query)
        if url.path == '/-/kv-key':
            item = self.items.get(query['Key'])
            if item is None:
                return 404, {'AtRev': self.revision}
            return 200, {**item, 'AtRev': self.revision}
        if url.path == '/-/kv-lease':
            lease = 77_000 + len(self.leases) + self.revision
            while lease in self.leases:
                lease += 1
            ttl = tree['TtlMs']
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            self.revision += 1
            return 200, {'LeaseId': lease, 'TtlMs': ttl}
        call, _, number = url.path.rpartition('/')
        if call == '/-/kv-keep':
            if int(number) not in self.leases:
                return 404, {}
            ttl = self.leases[int(number)][0]
            self.leases[int(number)] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'TtlMs': ttl}
        if call == '/-/kv-lease-end':
            return (200 if self._end_lease(int(number)) else 404), {}
        return self._commit(tree)

    def _range(self, query):
        after, prefix = query.get('after', ''), query.get('Prefix', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = [self.items[key] for key in keys[:500]]
        has_more = len(keys) > 500
        return 200, {'items': page, 'HasMore': has_more, 'AtRev': self.revision}

    async def _watch(self, query):
        after, prefix = int(query['after']), query.get('Prefix', '')
        until = time.monotonic() + float(query['WaitMs']) / 1000
        while True:
            if after < self.compacted:
                return 410, {}
            events = [
                event
                for event in self.events
                if event['Revision'] > after and event['Key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'AtRev': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _commit(self, tree):
        for row in tree.get('ExpectedRev', ()):
            found = self.items.get(row['Key'], {}).get('Revision', 0)
            if found != row['Revision']:
                return 412, {'items': []}
        leases = {put.get('LeaseId', 0) for put in tree.get('Puts', ())} - {0}
        if not leases <= self.leases.keys():
            return 404, {}
        for put in tree.get('Puts', ()):
            self._put_encoded(put['Key'], put['Value'], put.get('LeaseId', 0))
        for key in tree.get('Deletes', ()):
            self.delete(key)
        return 200, {'Revision': self.revision}


class Truncated(bytes):
    """First bytes of an answer, after which the connection is closed."""


class Backend:
    """Backend server: slots, a queue, deadlines, signatures and its entry."""

    def __init__(self, store, record, service, zone, **options):
        self.store, self.record = store, record
        self.service, self.zone = service, zone
        self.slots = options.get('slots', 5)
        self.queue = options.get('queue', 30)
        self.work_s = options.get('work_s', 0.03)
        self.max_conns = options.get('max_conns', 110)
        # Returns the answer of a run as (status, headers, body), or None to
        # close the connection without an answer.
        self.on_run = options.get('on_run')
        self.instance = f'i-{os.urandom(5).hex()}'
        self.state = 'ready'
        self._running = self._waiting = self._connections = 0
        self._seq = self._count = 0
        self._free = asyncio.Semaphore(self.slots)

    async def start(self):
        """Listen on a free port and register in the store."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{port}'
        self.record.add(f'{self.instance} serves {self.service}')
        self._beat = asyncio.create_task(self._heartbeat())

    async def _heartbeat(self):
        self.register()
        # Servers do not write at the same time.
        await asyncio.sleep(random.uniform(0, HEARTBEAT_MS / 1000))
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def register(self):
        """Write the entry of this server."""
        self._seq += 1
        self.store.put(
            f'servers/{self.instance}',
            {
                'Service': self.service,
                'Address': self.address,
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': self.slots,
                'State': self.state,
                'WarmupLeftMs': 0,
                'SeqNo': self._seq,
            },
        )

    def stamp(self, request_id):
        """Return a signature of this server for one answer."""
        self._count += 1
        return f'{self.instance[2:6]}.{self._count:x}.{request_id}'

    async def _serve(self, reader, writer):
        self._connections += 1
        try:
            if self._connections > self.max_conns:
                writer.transport.abort()
                return
            while True:
                start, headers, body = await read_message(reader)
                reply = await self._answer(reader, start, headers, body)
                if reply is None:
                    writer.transport.abort()
                    return
                writer.write(reply)
                await writer.drain()
                if isinstance(reply, Truncated):
                    return
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            pass
        finally:
            self._connections -= 1
            writer.close()

    def _refuse(self, status, request_id):
        return message(
            f'HTTP/1.1 {status} Not Executed',
            [('X-Not-Executed', '1'), ('X-Request-Id', request_id)],
        )

    async def _answer(self, reader, start, headers, body):
        request_id = headers.get('x-request-id', '')
        method, target, _version = start.split(' ')
        if target == '/health':
            return message(
                'HTTP/1.1 200 OK', [('X-Instance-Id', self.instance)]
            )
        if not request_id:
            return self._refuse(400, '')
        if headers.get('x-expect-instance', self.instance) != self.instance:
            return self._refuse(421, request_id)
        left_s = float(headers.get('x-deadline-ms', 60_000)) / 1000
        until = time.monotonic() + left_s
        if self._free.locked() and self._waiting >= self.queue:
            return self._refuse(503, request_id)
        self._waiting += 1
        try:
            await asyncio.wait_for(self._free.acquire(), left_s)
        except TimeoutError:
            return self._refuse(503, request_id)
        finally:
            self._waiting -= 1
        try:
            return await self._run(
                reader, request_id, method, target, body, until
            )
        finally:
            self._free.release()

    async def _run(self, reader, request_id, method, target, body, until):
        self.record.add(f'{self.instance} runs {request_id} {target}')
        closed = asyncio.create_task(reader.read(1))
        work_s = min(self.work_s, max(0, until - time.monotonic()))
        await asyncio.wait((closed,), timeout=work_s)
        if closed.done():
            self.record.add(
                f'{self.instance} drops {request_id}: connection closed'
            )
            raise ConnectionError
        closed.cancel()
        await asyncio.wait((closed,))
        identity = [
            ('X-Request-Id', request_id),
            ('X-Server-Stamp', self.stamp(request_id)),
        ]
        if work_s < self.work_s:
            return message('HTTP/1.1 504 Deadline', identity)
        answer = (200, [], f'{request_id} {target}\n'.encode())
        if self.on_run is not None:
            answer = self.on_run(self, request_id, target, body)
        if answer is None:
            self.record.add(f'{self.instance} loses its answer to {request_id}')
            return None
        status, extra, content = answer
        return message(f'HTTP/1.1 {status} Status', identity + extra, content)


class Daemon:
    """One daemon process, run with the command of the deploy file."""

    def __init__(self, folder, record, store, index):
        self.record, self.store = record, store
        self.zone = tuple(ZONES)[index % len(ZONES)]
        self.name = f'front-{self.zone}-{index // len(ZONES) + 1}'
        self._path = Path(folder) / f'{self.name}.toml'
        self._configure()
        self._log = open(Path(folder) / f'{self.name}.log', 'ab')
        self.process = None

    def _configure(self):
        """Write the settings file, with free ports."""
        self.ports = {
            name: free_port()
            for name in ('front', 'ready', 'control', 'directory', 'peer')
        }
        self.front = f'{HOST}:{self.ports["front"]}'
        self.directory = f'{HOST}:{self.ports["directory"]}'
        self._path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                region=ZONES[self.zone],
                store=self.store.address,
                **self.ports,
            )
        )

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['fennelforkd']['run'].split()
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'FENNELFORK_NODE_FILE': str(self._path),
            },
        )
        self.record.add(f'{self.name} is started')

    def signal(self, number):
        """Send a signal to the process."""
        self.record.add(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def wait_ready(self, timeout_s=15):
        """Wait until the process counts as ready."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                # Another process may have taken one of the ports.
                self._configure()
                self.start()
            answer = await request(
                f'{HOST}:{self.ports["ready"]}', 'GET', '/-/ready', timeout_s=1
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise SetupError(f'{self.name} is not ready')

    def end(self):
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class SetupError(Exception):
    """The case could not run."""


class Answer:
    """Outcome of one request of a client: a status, or None if it was cut."""

    def __init__(self, status, headers=None, body=b'', problem=''):
        self.status, self.headers = status, headers or {}
        self.body, self.problem = body, problem


async def request(
    address, method, target, headers=(), body=b'', timeout_s=15.0
):
    """Send one request on a new connection and read the answer."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [('Host', 'front.example'), *headers]
            writer.write(message(f'{method} {target} HTTP/1.1', lines, body))
            await writer.drain()
            start, fields, content = await read_message(reader)
            return Answer(int(start.split(' ')[1]), fields, content)
    except TimeoutError:
        return Answer(None, problem='no answer in time')
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(None, problem=f'{type(error).__name__}: {error}')
    finally:
        if writer is not None:
            writer.close()


async def resolve(daemon, zone):
    """Ask the directory of a daemon; return the addresses and their ttl."""
    target = f'/-/resolve?Name=front.example&Region={ZONES[zone]}&Zone={zone}'
    answer = await request(daemon.directory, 'GET', target, timeout_s=1)
    if answer.status != 200:
        return [], 0
    tree = json.loads(answer.body)
    return tree['addrs'], tree['ttl_s']


def route(name, prefix, **fields):
    """Build a route of the configuration."""
    return {
        'Name': name,
        'Host': 'front.example',
        'Prefix': prefix,
        'RouteType': 'safe',
        'TimeoutMs': 15_000,
        'LatencyGoalMs': 1026,
        'Priority': 2,
        'MaxAttempts': 2,
        **fields,
    }


def configuration(version, routes, services, max_conns=110):
    """Build a configuration."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {
                'Name': name,
                'HealthPath': '/health',
                'MaxConns': max_conns,
                'Protocol': 'h1',
                'Tls': False,
            }
            for name in services
        ],
        'Limits': {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': 262_144,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15_000,
        },
    }


class Fleet:
    """Store, backend servers and daemons of one run."""

    def __init__(self, folder, record, daemons=3):
        self.folder, self.record = folder, record
        self.store = Store()
        self.backends = []
        self.daemons = []
        self._size = daemons

    async def start(self, config, backends):
        """Start everything and wait until all daemons are ready."""
        await self.store.start()
        self.store.put('op/config', config)
        for service, zone, options in backends:
            backend = Backend(self.store, self.record, service, zone, **options)
            await backend.start()
            self.backends.append(backend)
        self.daemons = [
            Daemon(self.folder, self.record, self.store, index)
            for index in range(self._size)
        ]
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()
        until = time.monotonic() + 15
        while time.monotonic() < until:
            answers = [
                await resolve(daemon, daemon.zone) for daemon in self.daemons
            ]
            if all(len(addresses) for addresses, _ttl in answers):
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(4)

    def end(self):
        """End all daemons."""
        for daemon in self.daemons:
            daemon.end()


def run_case(folder, body, daemons=3):
    """Run a case; exit with 1 if a rule was broken, 2 if it could not run.

    Args:
        folder: folder of the case, which gets `record.txt`.
        body: coroutine function of the fleet and of whether to make trouble;
            returns the broken rules, as lines.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(folder) / 'record.txt')
    with tempfile.TemporaryDirectory() as scratch:
        fleet = Fleet(scratch, record, daemons)

        async def guarded():
            async with asyncio.timeout(LIMIT_S):
                return await body(fleet, trouble)

        try:
            broken = asyncio.run(guarded())
        except (SetupError, TimeoutError, OSError) as error:
            record.add(f'the case could not run: {error!r}')
            print(f'could not run: {error!r}')
            return 2
        finally:
            fleet.end()
            if os.environ.get('KEEP_LOGS'):
                for path in Path(scratch).glob('*.log'):
                    target = Path(os.environ['KEEP_LOGS']) / path.name
                    target.write_bytes(path.read_bytes())
        for line in broken:
            record.add(f'BROKEN {line}')
            print(f'broken: {line}')
        if not broken:
            record.add('HELD')
            print('held')
        record.close()
        return 1 if broken else 0


if __name__ == '__main__':
    sys.exit('this module is used by the scripts of the cases')
