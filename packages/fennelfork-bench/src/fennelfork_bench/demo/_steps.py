"""Steps of the demo."""

import random
import time
from typing import Any, Final

from fennelfork_bench.demo._check import ExpectedAnswer, find_faults
from fennelfork_bench.demo._fleet import (
    CEDOLE,
    CEDOLE_FRONT,
    KEYS,
    SALVARE,
    SALVARE_FRONT,
)
from fennelfork_bench.demo._load import (
    LookupLoad,
    expect_one_key,
    lookup_body,
    register_body,
)
from fennelfork_bench.demo._table import Step
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._caller import Caller, RequestResult
from fennelfork_bench.rig._fleet import Fleet

_LOOKUPS: Final = 20
_PHASE_S: Final = 4
_FLOOR: Final = 0.4
_MAX_ENTRY_REQUESTS: Final = 50
_ENTRIES_PAUSE_S: Final = 0.2
_ALL: Final = ExpectedAnswer(keys=KEYS)


def fetch_entries(fleet: Fleet) -> Step:
    """Fetch the entry addresses until all daemons are listed.

    Answers leave out suspected daemons, for example on a busy machine; the
    column `again` counts the answers that did not list all daemons.
    """
    step = Step(name='entries')
    caller = Caller(seeds=tuple(fleet.callers))
    replies = [caller.fetch_entries()]
    while _listed_addresses(replies[-1]) != set(fleet.callers):
        if len(replies) == _MAX_ENTRY_REQUESTS:
            break
        time.sleep(_ENTRIES_PAUSE_S)
        replies.append(caller.fetch_entries())
    reply = replies[-1]
    asked = RequestResult(
        request_id='',
        reply=reply,
        attempts=len(replies),
        took_ms=0,
    )
    listed_addresses = _listed_addresses(reply)
    faults = (
        []
        if listed_addresses == set(fleet.callers)
        else [f'listed {listed_addresses}']
    )
    step.remark = (
        f'{len(listed_addresses)} addresses, ttl {reply.body.get("ttl_ms")} ms'
    )
    step.add(asked, faults)
    return step


def look_up_records(fleet: Fleet, seed: int) -> Step:
    """Look up single records sequentially."""
    step = Step(name='lookups')
    caller = Caller(seeds=tuple(fleet.callers))
    for key in random.Random(seed).sample(range(KEYS), _LOOKUPS):
        asked = caller.query(SALVARE_FRONT, lookup_body(SALVARE, key))
        step.add(asked, find_faults(asked, expect_one_key(key)))
    return step


def read_register(fleet: Fleet, name: str) -> Step:
    """Query a register; only a complete answer is accepted."""
    step = Step(name=name)
    caller = Caller(seeds=tuple(fleet.callers))
    asked = caller.query(CEDOLE_FRONT, register_body(CEDOLE, 'whole'))
    step.add(asked, find_faults(asked, _ALL))
    return step


def issue_certificate(fleet: Fleet, name: str, key: int) -> Step:
    """Send a non-idempotent request and count its runs."""
    step = Step(name=name)
    body = {
        'tenant': SALVARE,
        'class': 'certificate',
        'key': key,
        'action': 'issue-certificate',
    }
    caller = Caller(seeds=tuple(fleet.callers))
    asked = caller.execute(SALVARE_FRONT, body)
    runs = _count_runs(fleet, asked.request_id)
    step.remark = f'{runs} run(s) in the logs of the backend servers'
    faults = [] if asked.reply.is_success else [_describe_refusal(asked)]
    if runs != 1:
        faults.append(f'ran {runs} times')
    step.add(asked, faults)
    return step


def kill_under_load(fleet: Fleet, seed: int) -> list[Step]:
    """Kill a backend server with a replica, then an entry VM, under load."""
    steps = [
        Step(name='load'),
        Step(name='load, server killed'),
        Step(name='load, entry VM killed'),
    ]
    load = LookupLoad(
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
    fleet.update_vm_list()
    load.step = steps[2]
    time.sleep(_PHASE_S)
    load.stop()
    return steps


def kill_only_replica(fleet: Fleet) -> list[Step]:
    """Kill the only replica of a range; answers must report the range."""
    fleet.backends['payout-high-0'].kill()
    caller = Caller(seeds=tuple(fleet.callers))
    partial_step = Step(name='register, range lost')
    asked = caller.query(CEDOLE_FRONT, register_body(CEDOLE, 'partial', _FLOOR))
    expected = ExpectedAnswer(keys=KEYS, complete=False)
    faults = find_faults(asked, expected)
    partial_step.add(asked, faults)
    if not faults:
        partial_step.remark = f'missing {_missing_ranges(asked.reply.body)}'
        if asked.reply.body['coverage']['complete']:
            partial_step.add(asked, ['complete without the lost range'])
    complete_step = Step(name='the same, whole wanted')
    refused = caller.query(CEDOLE_FRONT, register_body(CEDOLE, 'whole'), 0)
    complete_step.remark = _describe_refusal(refused)
    has_verdict = 'verdict' in refused.reply.body
    complete_step.add(
        refused, [] if has_verdict else ['not refused with a verdict']
    )
    return [partial_step, complete_step]


def _listed_addresses(reply: http.HttpResponse) -> set[str]:
    return {each['address'] for each in reply.body.get('entries', ())}


def _describe_refusal(asked: RequestResult) -> str:
    body = asked.reply.body
    code_and_verdict = (
        f'{body.get("code", asked.reply.fault)}, {body.get("verdict")}'
    )
    return f'refused {asked.reply.status}: {code_and_verdict}'


def _missing_ranges(body: dict[str, Any]) -> str:
    missing = body['coverage']['missing']
    return ', '.join(f'{span["lo"]} to {span["hi"]}' for span in missing)


def _count_runs(fleet: Fleet, request_id: str) -> int:
    running_servers = [each for each in fleet.backends.values() if each.alive]
    pages = [
        http.get(each.ready['control'], '/control/log')
        for each in running_servers
    ]
    events = [event for page in pages for event in page.body.get('events', ())]
    return sum(
        event['kind'] == 'ran' and event['request_id'] == request_id
        for event in events
    )
