"""The store comes back from a copy while the coordinator is killed."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from common.stand import (
    BROKEN,
    HELD,
    MAX_KEY,
    TROUBLE,
    Asked,
    attempt_id,
    main,
    spawn,
)

RATE = 60
STEADY_S = 9.0
WORKERS = 9
# The drill: how long the store is away, and how old its copy is.
AWAY_S, COPY_S = 1.0, 4.0
RESTART_S = 1.0
ALLOWED_S = 0.5
SAMPLE_S = 0.02
WATCHED_S = 8.0
CYCLES = 5
DRAIN_AFTER_S = 2.65


async def load(system, record):
    async def ask():
        attempt, key = attempt_id(), random.randint(0, MAX_KEY)
        gateway = random.choice(system.gateways)
        headers = [
            ('Host', 'catalogo.example'),
            ('Laburnumyard-Attempt-Id', attempt),
            ('Laburnumyard-Deadline-Ms', '1500'),
            ('Laburnumyard-Shard-Key', str(key)),
        ]
        answer = await Asked(gateway.front, 'GET', '/catalogo/b', headers).run(
            1.5
        )
        record.note(
            'answered',
            attempt=attempt,
            key=key,
            status=answer.status,
            error=answer.error or '-',
        )
        system.counts[answer.status] = system.counts.get(answer.status, 0) + 1

    while True:
        spawn(ask())
        await asyncio.sleep(random.expovariate(RATE))


# A worker that turns slow works twelve times as long, for 9 s.
SLOW_X, SLOW_FOR_S = 12.0, 9.0


def work_s(_):
    """The page's look at the catalogue: 100 ms in the mean."""
    taken = random.lognormvariate(-2.4, 0.5) * (
        7 if random.random() < 0.03 else 1
    )
    return min(1.1, taken)


def slow_s(_):
    return SLOW_X * work_s(_)


def shared_keys(workers, now):
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


async def slow_down(worker):
    worker.work_s = slow_s
    await asyncio.sleep(SLOW_FOR_S)
    worker.work_s = work_s


async def drill(system, record, cycle):
    """Kill the coordinator, lose the store's last seconds, replace a worker."""
    leaving = system.workers[0]
    system.spawn(slow_down(leaving))
    name = f'n-{cycle + 1}'
    await system.add_worker(name, 'catalogo', sharded=True, work_s=work_s)
    await asyncio.sleep(2.0)
    if TROUBLE:
        killed = system.coordinator('catalogo')
        record.note('SIGKILL', gateway=killed.name)
        killed.signal(signal.SIGKILL)
        await asyncio.sleep(0.2)
        record.note('store-away')
        system.store.leave()
        await asyncio.sleep(AWAY_S)
        system.store.come_back(COPY_S)
        record.note('store-back', era=system.store.era)
        await killed.start()
    await asyncio.sleep(DRAIN_AFTER_S)
    record.note('draining', worker=leaving.name)
    leaving.state = 'draining'
    leaving.write(system.store)
    return leaving


async def case(system, record):
    system.counts = {}
    system.add_service('catalogo', sharded=True)
    system.add_route(
        'catalogo', 'catalogo', 'safe', timeout_ms=1500, slo_ms=400
    )
    system.configure()
    for index in range(WORKERS):
        await system.add_worker(
            f'i-{index + 1}', 'catalogo', sharded=True, work_s=work_s
        )
    await system.start_gateways(3)
    system.spawn(load(system, record))
    await asyncio.sleep(STEADY_S)
    if system.counts.get(200, 0) < 100:
        raise RuntimeError(f'not served in the beginning: {system.counts}')
    leaving = system.workers[0]

    async def watch():
        since = {}
        while True:
            now = time.monotonic()
            found = {
                pair[:4]: pair for pair in shared_keys(system.workers, now)
            }
            since = {pair: since.get(pair, now) for pair in found}
            for pair, began in since.items():
                if now == began:
                    record.note('both-hold', pair=found[pair])
                if now - began > system.longest:
                    system.longest, system.worst = now - began, found[pair]
            await asyncio.sleep(SAMPLE_S)

    system.longest, system.worst = 0.0, None
    system.spawn(watch())
    for cycle in range(CYCLES):
        leaving = await drill(system, record, cycle)
        await asyncio.sleep(WATCHED_S)
        leaving.is_writing = False
        system.store.remove(f'servers/{leaving.name}')
        leaving.close()
        system.workers.remove(leaving)
        if system.longest > ALLOWED_S:
            break
    record.say(f'answers: {system.counts}')
    record.say(
        f'two workers that were up held the same keys for '
        f'{system.longest:.2f} s at most {system.worst or ""}'
    )
    return BROKEN if system.longest > ALLOWED_S else HELD


main(case, Path(__file__).parent)
