"""The steps of the demo."""

import random
import time
from typing import Any, Final

from fennelfork_bench.demo._check import Expected, faults_of
from fennelfork_bench.demo._fleet import (
    CEDOLE,
    CEDOLE_FRONT,
    KEYS,
    SALVARE,
    SALVARE_FRONT,
)
from fennelfork_bench.demo._load import Load, lookup, one_key, register
from fennelfork_bench.demo._table import Step
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._caller import Asked, Caller
from fennelfork_bench.rig._fleet import Fleet

_LOOKUPS: Final = 20
_PHASE_S: Final = 4
_FLOOR: Final = 0.4
_MOST_ASKED: Final = 50
_ENTRIES_PAUSE_S: Final = 0.2
_ALL: Final = Expected(keys=KEYS)


def ask_entries(fleet: Fleet) -> Step:
    """Ask for the addresses to use until all daemons are named.

    A daemon that was suspected for a moment, as on a busy machine, is left
    out of the answers meanwhile; `again` counts the answers that lacked one.
    """
    step = Step(name='entries')
    caller = Caller(seeds=tuple(fleet.callers))
    replies = [caller.entries()]
    while _named(replies[-1]) != set(fleet.callers):
        if len(replies) == _MOST_ASKED:
            break
        time.sleep(_ENTRIES_PAUSE_S)
        replies.append(caller.entries())
    reply = replies[-1]
    asked = Asked(
        request_id='',
        reply=reply,
        attempts=len(replies),
        took_ms=0,
    )
    listed = _named(reply)
    faults = [] if listed == set(fleet.callers) else [f'listed {listed}']
    step.remark = f'{len(listed)} addresses, ttl {reply.body.get("ttl_ms")} ms'
    step.add(asked, faults)
    return step


def look_up(fleet: Fleet, seed: int) -> Step:
    """Look up single records one after the other."""
    step = Step(name='lookups')
    caller = Caller(seeds=tuple(fleet.callers))
    for key in random.Random(seed).sample(range(KEYS), _LOOKUPS):
        asked = caller.query(SALVARE_FRONT, lookup(SALVARE, key))
        step.add(asked, faults_of(asked, one_key(key)))
    return step


def read_register(fleet: Fleet, name: str) -> Step:
    """Ask for one whole register and nothing less."""
    step = Step(name=name)
    caller = Caller(seeds=tuple(fleet.callers))
    asked = caller.query(CEDOLE_FRONT, register(CEDOLE, 'whole'))
    step.add(asked, faults_of(asked, _ALL))
    return step


def issue_certificate(fleet: Fleet, name: str, key: int) -> Step:
    """Send a request that is not idempotent and count its runs."""
    step = Step(name=name)
    body = {
        'tenant': SALVARE,
        'class': 'certificate',
        'key': key,
        'action': 'issue-certificate',
    }
    caller = Caller(seeds=tuple(fleet.callers))
    asked = caller.execute(SALVARE_FRONT, body)
    runs = _runs_of(fleet, asked.request_id)
    step.remark = f"ran {runs} time(s) in the servers' own logs"
    faults = [] if asked.reply.fine else [_refusal(asked)]
    if runs != 1:
        faults.append(f'ran {runs} times')
    step.add(asked, faults)
    return step


def kill_under_load(fleet: Fleet, seed: int) -> list[Step]:
    """Kill a replicated backend server, then an entry VM, under load."""
    steps = [
        Step(name='load'),
        Step(name='load, server killed'),
        Step(name='load, entry VM killed'),
    ]
    load = Load(
        step=steps[0],
        seeds=tuple(fleet.callers),
        randomness=random.Random(seed),
    )
    load.start()
    time.sleep(_PHASE_S)
    fleet.backends['certificate-low-0'].kill()
    load.step = steps[1]
    time.sleep(_PHASE_S)
    fleet.daemons['vm-2'].kill()
    fleet.list_vms()
    load.step = steps[2]
    time.sleep(_PHASE_S)
    load.stop()
    return steps


def lose_a_range(fleet: Fleet) -> list[Step]:
    """Kill the only server of a range; partial answers must say so."""
    fleet.backends['payout-high-0'].kill()
    caller = Caller(seeds=tuple(fleet.callers))
    partial = Step(name='register, range lost')
    asked = caller.query(CEDOLE_FRONT, register(CEDOLE, 'partial', _FLOOR))
    expected = Expected(keys=KEYS, complete=False)
    faults = faults_of(asked, expected)
    partial.add(asked, faults)
    if not faults:
        partial.remark = f'missing {_spans(asked.reply.body)}'
        if asked.reply.body['coverage']['complete']:
            partial.add(asked, ['complete without the lost range'])
    whole = Step(name='the same, whole wanted')
    refused = caller.query(CEDOLE_FRONT, register(CEDOLE, 'whole'), 0)
    whole.remark = _refusal(refused)
    honest = 'verdict' in refused.reply.body
    whole.add(refused, [] if honest else ['not refused with a verdict'])
    return [partial, whole]


def _named(reply: http.HttpReply) -> set[str]:
    return {each['address'] for each in reply.body.get('entries', ())}


def _refusal(asked: Asked) -> str:
    body = asked.reply.body
    words = f'{body.get("code", asked.reply.fault)}, {body.get("verdict")}'
    return f'refused {asked.reply.status}: {words}'


def _spans(body: dict[str, Any]) -> str:
    missing = body['coverage']['missing']
    return ', '.join(f'{span["lo"]} to {span["hi"]}' for span in missing)


def _runs_of(fleet: Fleet, request_id: str) -> int:
    living = [each for each in fleet.backends.values() if each.alive]
    pages = [http.get(each.ready['control'], '/control/log') for each in living]
    events = [event for page in pages for event in page.body.get('events', ())]
    return sum(
        event['kind'] == 'ran' and event['request_id'] == request_id
        for event in events
    )
