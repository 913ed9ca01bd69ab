"""A stopping daemon takes a request late, and cuts it."""

import asyncio
import json
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig_2 as rig  # noqa: E402  # after the change of the path

GRACE_S = 6.0
# Requests up to this time after SIGTERM are excused by the rule.
EXCUSED_S = 3.0
# Some clients keep an answer of the directory three times as long.
TTL_FACTOR = 3
USUAL_S, LONG_S = 0.22, 2.6
TIMEOUT_MS = 15000


class ArchiveBackend(rig.Backend):
    """Backend whose work depends on the record that is asked for."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.finished = {}

    async def answer(self, start_line, headers, body, reader):
        """Run one request."""
        expected = headers.get('x-expect-instance')
        if expected not in (None, self.instance):
            return rig.encode_response(421)
        request_id = headers.get('x-request-id', '')
        is_long = '/long-' in start_line
        async with self._slots:
            self.runs.append((rig.now(), request_id, start_line, headers, body))
            await asyncio.sleep(LONG_S if is_long else USUAL_S)
        self.finished[request_id] = rig.now()
        return rig.encode_response(
            200, b'record', (
                ('X-Request-Id', request_id),
                ('X-Server-Stamp', f'{self.service}.{request_id}'),
            ),
        )


async def send(record, daemon, name, answers):
    """Send one request on a new connection and record its answer."""
    sent = rig.now()
    record(f'sent {name} to {daemon.name}', sent)
    try:
        answer = await rig.request(
            daemon.front, f'/archive/{name}', name, method='POST',
            body=b'{}', timeout_s=TIMEOUT_MS / 1000, deadline_ms=TIMEOUT_MS,
        )
        status = 'closed without an answer' if answer is None else answer[0]
    except (OSError, TimeoutError) as error:
        status = repr(error)
    answers[name] = sent, status, rig.now()
    record(f'answered {name}: {status}')


async def resolve(daemon):
    """Return the addresses and the time to live that the directory answers."""
    answer = await rig.request(
        ('127.0.0.1', daemon.ports['directory']),
        f'/-/resolve?Name={rig.HOST}&Region={daemon.zone}&Zone={daemon.zone}',
        '', timeout_s=1,
    )
    tree = json.loads(answer[2])
    return tree['addrs'], tree['ttl_s']


async def main(record, scratch, trouble):
    """Run the case and return whether the rule was kept."""
    store = rig.Store()
    await store.start()
    expiry = asyncio.create_task(store.expire_leases())
    archive = rig.route(
        'archive', '/archive/', 'archive', RouteType='unsafe',
        TimeoutMs=TIMEOUT_MS, LatencyGoalMs=1000,
    )
    store.write_config(rig.config(100, [archive], ['archive']))
    zone = rig.ZONES[0]
    backends = [
        ArchiveBackend('archive', zone, f'i-archive-{number}')
        for number in range(3)
    ]
    *first, added = backends
    for backend in backends:
        await backend.start()
    for backend in first:
        backend.register(store)
    leaving, other = daemons = [
        rig.Daemon(scratch, f'front-{number}', zone, store.address)
        for number in range(2)
    ]
    answers = {}
    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(2)
        usual = []
        for serial in range(120):
            usual.append(asyncio.create_task(
                send(record, leaving, f'usual-{serial}', answers)
            ))
            await asyncio.sleep(0.06)
        await asyncio.gather(*usual)
        await asyncio.sleep(2)
        # An empty backend is added, and the daemon is stopped.
        added.register(store)
        record('a backend is added')
        await asyncio.sleep(0.05)
        stopped = rig.now()
        if trouble:
            leaving.signal(signal.SIGTERM)
            record('SIGTERM to the first daemon')
        # A client that asks the other daemon for addresses.
        address = f'127.0.0.1:{leaving.ports["front"]}'
        named = stopped
        while rig.now() < stopped + 1:
            asked = rig.now()
            addresses, ttl_s = await resolve(other)
            if address not in addresses:
                break
            named, kept_s = asked, ttl_s * TTL_FACTOR
            await asyncio.sleep(0.01)
        if not trouble:
            named = stopped + 0.3
        record(
            f'the directory named it until {named - stopped:.3f} s, '
            f'a client keeps this for {kept_s:.0f} s'
        )
        # The last moment at which the client may use the address.
        due = named + kept_s - 0.02
        await asyncio.sleep(due - rig.now())
        await asyncio.gather(*(
            send(record, leaving, f'long-{serial}', answers)
            for serial in range(4)
        ))
        await asyncio.sleep(1)
    finally:
        expiry.cancel()
        for daemon in daemons:
            await daemon.kill()
    runs = {}
    for backend in backends:
        for at, name, *_rest in backend.runs:
            runs[name] = at, backend
            record(f'run {name} by {backend.instance}', at)
    broken = []
    for serial in range(4):
        name = f'long-{serial}'
        sent, status, ended = answers[name]
        if name not in runs:
            record.say(f'{name}: sent {sent - stopped:.2f} s after SIGTERM, '
                       f'not passed on, answer {status}')
            continue
        record.say(
            f'{name}: sent {sent - stopped:.2f} s after SIGTERM, passed on, '
            f'{status} at {ended - stopped:.2f} s'
        )
        if status != 200 and sent > stopped + EXCUSED_S:
            broken.append(name)
    if any(status != 200 for name, (_s, status, _e) in answers.items()
           if name.startswith('usual')):
        raise rig.CannotRun('a usual request was not served')
    return not broken


if __name__ == '__main__':
    sys.exit(rig.run_case(FOLDER, main))
