"""The burst of a tenant is granted again after a rollback of its limit."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig_2 as rig  # noqa: E402  # after the change of the path

RATE_PER_S, BURST, LOWERED_BURST = 10, 100, 10
# Bounds of the settings: QuotaWindowS, QuotaExcess and QuotaSlack.
WINDOW_S, EXCESS, SLACK = 5, 0.1, 20
LIMIT = (RATE_PER_S * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
# The owner of a tenant has all permits about 19 s after its first request.
SETTLED_S = 28
LOWER_AT_S, RAISE_AT_S, END_AT_S = 1.5, 3.0, 9.0
CONTRACTS = (
    '["base","drain","config","cost","retry","recover","scatter","tenants",'
    '"quota","platform"]'
)


def configuration(version, burst):
    """Return a configuration in which only the burst of the tenant varies."""
    tenant = {
        'Name': 'north-shop', 'ApiKeys': ['key-of-north-shop'],
        'RatePerS': RATE_PER_S, 'Burst': burst,
    }
    return rig.config(
        version, [rig.route('one', '/one/', 'archive')], ['archive'],
        Tenants=[tenant],
    )


async def send_all(record, daemon, until, answers, pause_s, kind):
    """Send requests to one daemon, each on a connection of its own."""
    serial = 0
    tasks = []
    while rig.now() < until:
        serial += 1
        name = f'{kind}-{daemon.name}-{serial}'
        tasks.append(asyncio.create_task(send(record, daemon, name, answers)))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*tasks)


async def send(record, daemon, name, answers):
    """Send one request and record its answer."""
    sent = rig.now()
    try:
        answer = await rig.request(
            daemon.front, f'/one/{name}', name, deadline_ms=4000,
            headers=(('X-Api-Key', 'key-of-north-shop'),),
        )
        status = None if answer is None else answer[0]
    except (OSError, asyncio.TimeoutError) as error:
        status = repr(error)
    answers[name] = sent, status
    record(f'sent {name}', sent)
    record(f'answered {name} {status}')


async def main(record, scratch, trouble):
    """Run the case and return whether the rule was kept."""
    store = rig.Store()
    await store.start()
    expiry = asyncio.create_task(store.expire_leases())
    backends = [
        rig.Backend('archive', zone, f'i-archive-{zone}', slots=20)
        for zone in rig.ZONES
    ]
    for backend in backends:
        await backend.start()
        backend.register(store)
    store.write_config(configuration(100, BURST))
    daemons = [
        rig.Daemon(scratch, f'front-{zone}', zone, store.address, CONTRACTS)
        for zone in rig.ZONES
    ]
    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        record('daemons are ready')
        answers = {}
        calm_until = rig.now() + SETTLED_S
        await asyncio.gather(*(
            send_all(record, daemon, calm_until, answers, 0.5, 'calm')
            for daemon in daemons
        ))
        start = rig.now()
        record('the tenant sends many times its usual')
        clients = [
            asyncio.create_task(
                send_all(
                    record, daemon, start + END_AT_S, answers, 0.05, 'hot'
                )
            )
            for daemon in daemons
        ]
        if trouble:
            await asyncio.sleep(LOWER_AT_S)
            store.write_config(configuration(107, LOWERED_BURST))
            record(f'operator: version 107, Burst {LOWERED_BURST}')
            await asyncio.sleep(RAISE_AT_S - LOWER_AT_S)
            store.write_config(configuration(112, BURST))
            record(f'operator: version 112, Burst {BURST} again')
        await asyncio.gather(*clients)
    finally:
        expiry.cancel()
        for daemon in daemons:
            await daemon.kill()
    arrived = {}
    for backend in backends:
        for at, name, *_rest in backend.runs:
            if name in answers:
                record(f'run {name} by {backend.instance}', at)
                arrived.setdefault(name, at)
    # A request counts in a window if it is sent and arrives inside it.
    best = (0, 0.0)
    pairs = sorted((answers[name][0], at) for name, at in arrived.items())
    for sent, _at in pairs:
        count = sum(
            1 for other, at in pairs if other >= sent and at <= sent + WINDOW_S
        )
        best = max(best, (count, sent))
    refused = sum(status == 429 for _sent, status in answers.values())
    served = sum(status == 200 for _sent, status in answers.values())
    record.say(
        f'sent {len(answers)}, answered 200 {served}, answered 429 {refused}'
    )
    record.say(
        f'most requests run in {WINDOW_S} s: {best[0]} from second '
        f'{best[1] - start:.2f} of the demand, limit {LIMIT:.0f}'
    )
    if not served:
        raise rig.CannotRun('no request was served')
    return best[0] <= LIMIT


if __name__ == '__main__':
    sys.exit(rig.run_case(FOLDER, main))
