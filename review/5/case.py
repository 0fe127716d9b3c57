"""A machine gets SIGTERM while requesters pipeline on kept connections."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from common.stand import (
    BROKEN,
    GRACE_S,
    HELD,
    TROUBLE,
    attempt_id,
    encode,
    main,
    read_answer,
)

REQUESTERS = 4
GAP_S = 0.15
STEADY_S = 4.0
DEADLINE_MS = 5000


class Pipelining:
    """Sends safe requests before the first ones have been answered."""

    def __init__(self, gateway, record):
        self.gateway = gateway
        self.record = record
        self.waiting = []
        self.served = 0
        self.is_ended = False

    async def run(self):
        host, port = self.gateway.front.split(':')
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )
        sender = asyncio.ensure_future(self.send())
        try:
            while True:
                answer = await read_answer(self.reader)
                if not answer.is_whole:
                    self.record.note(
                        'connection-ended',
                        error=answer.error,
                        waiting=len(self.waiting),
                    )
                    return
                attempt = self.waiting.pop(0)
                self.record.note(
                    'answered', attempt=attempt[0], status=answer.status
                )
                self.served += answer.status == 200
                if answer.headers.get('connection') == 'close':
                    # What was sent behind it counts as not read.
                    self.waiting.clear()
                    return
        finally:
            self.is_ended = True
            sender.cancel()
            self.writer.close()

    async def send(self):
        while True:
            attempt = attempt_id()
            headers = [
                ('Host', 'informe.example'),
                ('Laburnumyard-Attempt-Id', attempt),
                ('Laburnumyard-Deadline-Ms', str(DEADLINE_MS)),
            ]
            self.record.note('sent', attempt=attempt, gateway=self.gateway.name)
            self.waiting.append((attempt, time.monotonic()))
            self.writer.write(encode('GET /informe/4 HTTP/1.1', headers))
            await asyncio.sleep(GAP_S * random.uniform(0.7, 1.3))


def work_s(_):
    return min(4.3, random.lognormvariate(-1.0, 0.5))


async def case(system, record):
    system.add_service('produccion')
    system.add_route(
        'informe', 'produccion', 'safe', timeout_ms=2500, slo_ms=1200
    )
    system.configure()
    for index in range(9):
        await system.add_worker(f'i-{index + 1}', 'produccion', work_s=work_s)
    await system.start_gateways(3)
    stopped = system.gateways[-1]
    began = {}
    for worker in system.workers:
        worker.on_event = lambda what, worker, key, attempt, *_: (
            began.__setitem__(attempt, (worker.name, time.monotonic()))
        )
    requesters = [Pipelining(stopped, record) for _ in range(REQUESTERS)]
    for requester in requesters:
        system.spawn(requester.run())
    await asyncio.sleep(STEADY_S)
    if sum(requester.served for requester in requesters) < 20:
        raise RuntimeError('not served in the beginning')
    if TROUBLE:
        record.note('SIGTERM', gateway=stopped.name)
        stopped.signal(signal.SIGTERM)
    terminated = time.monotonic()
    await asyncio.sleep(GRACE_S)
    code = stopped.process.returncode
    record.note('after-grace', exit_code=code)
    if TROUBLE and code is None:
        stopped.signal(signal.SIGKILL)
    await asyncio.sleep(0.5)
    lost = [
        (attempt, *began[attempt], sent)
        for requester in requesters
        if requester.is_ended
        for attempt, sent in requester.waiting
        if attempt in began
    ]
    for attempt, worker, at, sent in lost:
        record.note(
            'lost',
            attempt=attempt,
            worker=worker,
            sent_after_sigterm_s=f'{sent - terminated:.2f}',
            passed_on_after_sigterm_s=f'{at - terminated:.2f}',
        )
    # Excused: sent no later than 3 s after SIGTERM, at work in the last sixth.
    counted = [row for row in lost if row[3] - terminated > 3]
    record.say(f'served: {sum(requester.served for requester in requesters)}')
    record.say(
        f'read, passed on to a worker and never answered: {len(lost)}, '
        f'of these sent over 3 s after SIGTERM: {len(counted)}'
    )
    return BROKEN if counted else HELD


main(case, Path(__file__).parent)
