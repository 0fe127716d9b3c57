"""Another writer's entry names the address of a worker that is up."""

import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from common.stand import (
    BROKEN,
    HELD,
    MAX_KEY,
    MS,
    TROUBLE,
    Asked,
    attempt_id,
    main,
    spawn,
)

# The rule: two workers that are up hold the same keys for over half a second.
ALLOWED_S = 0.5
SAMPLE_S = 0.05
STEADY_S = 6.0
WATCHED_S = 12.0


async def load(system, record):
    """Send safe keyed requests, each on a connection of its own."""

    async def ask():
        attempt, key = attempt_id(), random.randint(0, MAX_KEY)
        gateway = random.choice(system.gateways)
        headers = [
            ('Host', 'catalogo.example'),
            ('Laburnumyard-Attempt-Id', attempt),
            ('Laburnumyard-Deadline-Ms', '1500'),
            ('Laburnumyard-Shard-Key', str(key)),
            ('Connection', 'close'),
        ]
        record.note('sent', attempt=attempt, key=key, gateway=gateway.name)
        answer = await Asked(gateway.front, 'GET', '/catalogo/b', headers).run(
            1.5
        )
        record.note(
            'answered',
            attempt=attempt,
            status=answer.status,
            error=answer.error or '-',
        )
        counts[answer.status] = counts.get(answer.status, 0) + 1

    counts = {}
    system.counts = counts
    while True:
        spawn(ask())
        await asyncio.sleep(random.expovariate(30))


def shared_keys(workers, now):
    """Yield pairs of workers with keys that both hold now."""
    for index, one in enumerate(workers):
        for other in workers[index + 1 :]:
            for a, b, fence, until in one.holds:
                for c, d, other_fence, other_until in other.holds:
                    if now < until and now < other_until and a <= d and c <= b:
                        yield (
                            one.name,
                            other.name,
                            max(a, c),
                            min(b, d),
                            fence,
                            other_fence,
                        )


def foreign_entry(victim):
    """Return an entry that names no worker to use.

    Either of a service that no configuration names, or, with ENTRY=copy, the
    worker's own entry under another key with fields missing.
    """
    entry = json.loads(victim.entry())
    if os.environ.get('ENTRY') == 'copy':
        del entry['version'], entry['sequence']
        return entry
    return {
        **entry,
        'service': 'bodega',
        'sequence': 1,
        'born': int(time.time() * MS),
    }


async def case(system, record):
    system.add_service('catalogo', sharded=True)
    system.add_route('catalogo', 'catalogo', 'safe')
    system.configure()
    for index in range(4):
        await system.add_worker(f'i-{index + 1}', 'catalogo', sharded=True)
    await system.start_gateways(3)
    system.spawn(load(system, record))
    await asyncio.sleep(STEADY_S)
    if system.counts.get(200, 0) < 20:
        raise RuntimeError(f'not served in the beginning: {system.counts}')
    victim = system.workers[0]
    if TROUBLE:
        entry = foreign_entry(victim)
        record.note(
            'foreign-entry', key='servers/b-77', entry=json.dumps(entry)
        )
        system.store.put('servers/b-77', json.dumps(entry).encode())
    since, longest, worst = {}, 0.0, None
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until:
        now = time.monotonic()
        found = {pair[:4]: pair for pair in shared_keys(system.workers, now)}
        since = {pair: since.get(pair, now) for pair in found}
        for pair, began in since.items():
            if now == began:
                record.note('both-hold', pair=found[pair])
            if now - began > longest:
                longest, worst = now - began, found[pair]
        await asyncio.sleep(SAMPLE_S)
    record.say(f'answers: {system.counts}')
    record.say(
        f'two workers that were up held the same keys for '
        f'{longest:.2f} s at most {worst or ""}'
    )
    return BROKEN if longest > ALLOWED_S else HELD


main(case, Path(__file__).parent)
