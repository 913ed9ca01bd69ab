"""Clients leave while they still send the headers of a request.

The servers compare what they run with what the clients sent completely.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins as lib  # noqa: E402

GOAL_MS = 1026
# Dose of the kind `give_up`: 3 of 10 clients leave within half the objective,
# for 8 s.
LEAVING_SHARE = 0.3
LEAVE_WITHIN_S = GOAL_MS / 2 / 1000
LEAVING_S = 8
# Time in which a slow client sends its headers; the limit is 3 s.
SENDING_S = 0.4
PIECE_BYTES = (20, 60)
REQUESTS_PER_S = 25


class Runs:
    """Requests that servers began to work on, by request id."""

    def __init__(self):
        self.by_id = {}

    def add(self, request_id, method, target, body):
        """Remember one run."""
        self.by_id.setdefault(request_id, []).append((method, target, body))


class RecordingBackend(lib.Backend):
    """Backend server that keeps what it runs."""

    runs = Runs()

    async def _run(self, reader, request_id, method, target, body, until):
        self.runs.add(request_id, method, target, body)
        return await super()._run(
            reader, request_id, method, target, body, until
        )


async def body(fleet, trouble):
    """Send requests on slow links; some clients leave meanwhile."""
    runs = RecordingBackend.runs
    lib.Backend = RecordingBackend
    routes = [
        lib.route(
            'r-issue',
            '/issue/',
            Service='registry',
            RouteType='unsafe',
            LatencyGoalMs=GOAL_MS,
        )
    ]
    backends = [
        ('registry', zone, {'work_s': 0.1, 'slots': 5, 'max_conns': 41})
        for zone in lib.ZONES
        for _ in range(3)
    ]
    await fleet.start(
        lib.configuration(7, routes, ('registry',), max_conns=41), backends
    )
    sent = {}
    leavers = {}

    async def client(number):
        request_id = random.randbytes(8).hex()
        content = f'{{"raft": {number}, "valid": true}}'.encode()
        target = f'/issue/{number:x}'
        head = '\r\n'.join(
            [
                f'POST {target} HTTP/1.1',
                'Host: front.example',
                f'X-Request-Id: {request_id}',
                'X-Deadline-Ms: 15000',
                'User-Agent: station-desk/4.2',
                'Accept: application/json',
                f'Traceparent: 00-{random.randbytes(16).hex()}-01',
                f'Cookie: session={random.randbytes(100).hex()}',
                'Content-Type: application/json',
                f'Content-Length: {len(content)}',
                '\r\n',
            ]
        ).encode()
        leaves_s = None
        if trouble and random.random() < LEAVING_SHARE:
            leaves_s = random.uniform(0, LEAVE_WITHIN_S)
        daemon = random.choice(fleet.daemons)
        host, _, port = daemon.front.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        started = time.monotonic()
        try:
            start = 0
            while start < len(head):
                due = started + SENDING_S * start / len(head)
                if leaves_s is not None and due > started + leaves_s:
                    leavers[request_id] = (start, len(head))
                    fleet.record.add(
                        f'client leaves {request_id} after {start} of '
                        f'{len(head)} bytes of the headers'
                    )
                    return
                await asyncio.sleep(max(0, due - time.monotonic()))
                end = start + random.randint(*PIECE_BYTES)
                writer.write(head[start:end])
                await writer.drain()
                start = end
            sent[request_id] = ('POST', target, content)
            writer.write(content)
            await writer.drain()
            if leaves_s is not None:
                fleet.record.add(f'client leaves {request_id} after sending')
                return
            status, _fields, _body = await lib.read_message(reader)
            fleet.record.add(f'client: {request_id} is answered {status}')
        except (OSError, asyncio.IncompleteReadError) as error:
            fleet.record.add(f'client: {request_id} ends: {error!r}')
        finally:
            writer.close()

    tasks = []
    started = time.monotonic()
    for number in range(LEAVING_S * REQUESTS_PER_S):
        due = started + number / REQUESTS_PER_S
        await asyncio.sleep(max(0, due - time.monotonic()))
        tasks.append(asyncio.create_task(client(number)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(2)
    broken = []
    for request_id, entries in runs.by_id.items():
        for entry in entries:
            if request_id in leavers:
                done, total = leavers[request_id]
                broken.append(
                    f'UNASKED: {request_id} ran with the body {entry[2]!r}; '
                    f'its client left after {done} of {total} bytes of the '
                    'headers'
                )
            elif request_id not in sent:
                broken.append(
                    f'UNASKED: {request_id!r} ran, an id that no client sent'
                )
            elif sent[request_id] != entry:
                broken.append(f'UNASKED: {request_id} ran changed: {entry}')
    text = (
        f'complete requests: {len(sent)}; left within the headers: '
        f'{len(leavers)}; runs that nobody sent: {len(broken)}'
    )
    print(text)
    fleet.record.add(text)
    return broken


if __name__ == '__main__':
    sys.exit(lib.run_case(FOLDER, body))
