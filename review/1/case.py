"""Backend servers truncate answers, some of them within the headers.

The client checks each success against the complete answers of the servers
whose signatures it bears.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins as lib  # noqa: E402

SHARDS = tuple(f'shard-{index}' for index in range(10))
RECORD_BYTES = 16
TOP = 20
MIN_COVERAGE = 0.89
# Dose of the kind `garble`: half of the servers, 2 of 100 answers, for 5.5 s.
SERVER_SHARE = 0.5
ANSWER_SHARE = 0.02
TROUBLE_S = 5.5
TROUBLES = 8
PAUSE_S = 2
TRAFFIC_S = TROUBLES * (TROUBLE_S + PAUSE_S)
QUERIES_PER_S = 40
FETCHES_PER_S = 5


class Answers:
    """Complete answers of the servers, by signature."""

    def __init__(self):
        self.bodies = {}
        self.requests = {}

    def add(self, stamp, request_id, body):
        """Remember the whole body that a server gave to a request."""
        self.bodies[stamp] = body
        self.requests[stamp] = request_id


class TruncatingBackend(lib.Backend):
    """Backend server that breaks off a part of its answers at some byte."""

    answers = Answers()
    truncates = False

    async def _run(self, reader, request_id, method, target, body, until):
        reply = await super()._run(
            reader, request_id, method, target, body, until
        )
        head, _, content = reply.partition(b'\r\n\r\n')
        stamp = dict(
            line.split(': ', 1) for line in head.decode().split('\r\n')[1:]
        )['X-Server-Stamp']
        self.answers.add(stamp, request_id, content)
        if not self.truncates or random.random() >= ANSWER_SHARE:
            return reply
        cut = random.randrange(1, len(reply))
        where = 'headers' if cut < len(head) + 4 else 'body'
        self.record.add(
            f'{self.instance} truncates the answer to {request_id} '
            f'with {stamp} after {cut} of {len(reply)} bytes, in the {where}'
        )
        return lib.Truncated(reply[:cut])


def part_body(_backend, _request_id, _target, _body):
    """Return the records of one part, or the bytes of one answer."""
    return 200, [], random.randbytes(RECORD_BYTES * 25)


def whole_body(_backend, _request_id, _target, _body):
    """Return the bytes of an answer of a single server."""
    return 200, [], random.randbytes(3000)


def largest(bodies):
    """Return the records that a merged answer has to hold."""
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b''.join(sorted(records, reverse=True)[:TOP])


def check_merged(answers, request_id, answer):
    """Return what is wrong with a merged success, or an empty string."""
    stamps = [
        stamp.strip() for stamp in answer.headers['x-part-stamps'].split(',')
    ]
    missing = int(answer.headers.get('x-parts-missing', '0'))
    if len(stamps) + missing != len(SHARDS):
        return f'{len(stamps)} parts and {missing} missing'
    for stamp in stamps:
        if answers.requests.get(stamp) != request_id:
            return f'{stamp!r} is no signature for this request'
    if answer.body != largest(answers.bodies[stamp] for stamp in stamps):
        return (
            f'the body is not the greatest records of its {len(stamps)} parts '
            f'({missing} missing)'
        )
    return ''


def check_whole(answers, request_id, answer):
    """Return what is wrong with a success of one server, or ''."""
    stamp = answer.headers.get('x-server-stamp', '')
    if answers.requests.get(stamp) != request_id:
        return f'{stamp!r} is no signature for this request'
    if answer.body != answers.bodies[stamp]:
        return (
            f'the body has {len(answer.body)} of '
            f'{len(answers.bodies[stamp])} bytes'
        )
    return ''


async def body(fleet, trouble):
    """Send queries while servers truncate answers."""
    answers = TruncatingBackend.answers
    routes = [
        lib.route(
            'r-history',
            '/history/',
            Gather=list(SHARDS),
            TopK=TOP,
            MinCoverage=MIN_COVERAGE,
            TimeoutMs=4000,
            LatencyGoalMs=297,
        ),
        lib.route('r-archive', '/archive/', Service='archive'),
    ]
    backends = [
        (shard, zone, {'on_run': part_body, 'work_s': 0.028, 'max_conns': 41})
        for shard in SHARDS
        for zone in lib.ZONES
    ]
    backends += [
        ('archive', zone, {'on_run': whole_body, 'work_s': 0.1, 'slots': 3})
        for zone in lib.ZONES
        for _ in range(4)
    ]
    lib.Backend = TruncatingBackend
    await fleet.start(
        lib.configuration(7, routes, (*SHARDS, 'archive'), max_conns=41),
        backends,
    )
    broken = []
    counts = {'history': 0, 'archive': 0}

    async def ask(kind, number):
        request_id = f'{kind[0]}{number:07x}'
        daemon = random.choice(fleet.daemons)
        answer = await lib.request(
            daemon.front,
            'GET',
            f'/{kind}/{number:x}',
            [('X-Request-Id', request_id), ('X-Deadline-Ms', '4000')],
            timeout_s=5,
        )
        fleet.record.add(
            f'client: {request_id} answered {answer.status}, '
            f'{len(answer.body)} bytes {answer.problem}'
        )
        if answer.status != 200:
            return
        counts[kind] += 1
        check = check_merged if kind == 'history' else check_whole
        problem = check(answers, request_id, answer)
        if problem:
            broken.append(f'MIXED: {request_id} ({kind}): {problem}')

    async def disturb():
        for _ in range(TROUBLES if trouble else 0):
            drawn = [
                backend
                for backend in fleet.backends
                if random.random() < SERVER_SHARE
            ]
            fleet.record.add(f'{len(drawn)} servers truncate answers')
            for backend in drawn:
                backend.truncates = True
            await asyncio.sleep(TROUBLE_S)
            for backend in drawn:
                backend.truncates = False
            fleet.record.add('no server truncates answers')
            await asyncio.sleep(PAUSE_S)

    async def send(kind, per_s):
        tasks = []
        started = time.monotonic()
        for number in range(int(TRAFFIC_S * per_s)):
            due = started + number / per_s
            await asyncio.sleep(max(0, due - time.monotonic()))
            tasks.append(asyncio.create_task(ask(kind, number)))
        await asyncio.gather(*tasks)

    await asyncio.gather(
        disturb(),
        send('history', QUERIES_PER_S),
        send('archive', FETCHES_PER_S),
    )
    print(f'successes: {counts}; wrong: {len(broken)}')
    fleet.record.add(f'successes: {counts}; wrong: {len(broken)}')
    return broken


if __name__ == '__main__':
    sys.exit(lib.run_case(FOLDER, body))
