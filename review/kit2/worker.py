"""Workers of a service, as PROTOCOL.md describes them."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from kit2.http import Message, Reply, Server
from kit2.store import Store

Note = Callable[..., None]
HEARTBEAT_S = 0.87


@dataclass
class Hold:
    """Keys that a worker was granted."""

    first: int
    last: int
    fence: int
    until: float


class Worker:
    """One sound worker; it registers itself in the store.

    Its entry is written every ``HEARTBEAT_S``, while the store answers.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        note: Note,
        *,
        sharded: bool = False,
        work_s: float = 0.03,
        slots: int = 3,
    ) -> None:
        self.name = name
        self.service = service
        self.note = note
        self.sharded = sharded
        self.work_s = work_s
        self.slots = slots
        self.server = Server(host, self.handle)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.version = 'v1'
        self.running = 0
        self.holds: list[Hold] = []
        self.fences: list[Hold] = []
        self.handovers = 0
        self.registered_at = 0.0

    def entry(self) -> bytes:
        self.sequence += 1
        fields = {
            'service': self.service,
            'address': self.server.address,
            'zone': 'zone-a',
            'version': self.version,
            'maxConcurrency': self.slots,
            'state': self.state,
            'warmupLeftMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        return json.dumps(fields).encode()

    async def register(self, store: Store, offset_s: float) -> None:
        """Write the entry again and again."""
        await asyncio.sleep(offset_s)
        while True:
            if store.is_down:
                # Back within about two seconds, as the pages say.
                while store.is_down:
                    await asyncio.sleep(0.05)
                await asyncio.sleep(random.uniform(1.7, 2.0))
            if not store.is_down:
                store.put(f'servers/{self.name}', self.entry())
                self.registered_at = time.monotonic()
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request: Message) -> Reply | None:
        attempt = request.headers.get('laburnumyard-attempt-id', '')
        common = {'Laburnumyard-Instance-Id': self.name}
        if attempt:
            common['Laburnumyard-Attempt-Id'] = attempt
        not_run = {**common, 'Laburnumyard-Not-Executed': '1'}
        expected = request.headers.get('laburnumyard-expect-instance')
        if expected not in {None, self.name}:
            return Reply(421, not_run)
        if request.target in {'/-/grant', '/-/release'}:
            return await self.order(request, common)
        if request.target == '/healthz':
            return Reply(200, common)
        if not attempt:
            return Reply(400, not_run)
        now = time.monotonic()
        if self.sharded:
            key = int(request.headers.get('laburnumyard-shard-key', '0'))
            held = any(
                hold.first <= key <= hold.last and now < hold.until
                for hold in self.holds
            )
            if not held:
                return Reply(421, not_run)
        if self.running >= self.slots:
            return Reply(503, not_run)
        self.running += 1
        self.note('run', worker=self.name, id=attempt)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        signed = {**common, 'Laburnumyard-Instance-Signature': self.name}
        return Reply(200, signed, f'{self.name} {attempt}'.encode())

    async def order(self, request: Message, common: dict[str, str]) -> Reply:
        body = json.loads(request.body)
        first, last, fence = body['from'], body['target'], body['fence']
        now = time.monotonic()
        if request.target == '/-/release':
            self.drop(first, last)
            self.fences.append(Hold(first, last, fence, 0))
            while self.running:
                await asyncio.sleep(0.005)
            self.handovers += 1
            token = f'{self.name}-{self.handovers}'
            return Reply(200, {**common, 'Laburnumyard-Handover': token})
        if any(
            seen.fence > fence and seen.first <= last and first <= seen.last
            for seen in self.fences
        ):
            return Reply(409, common)
        self.drop(first, last)
        hold = Hold(first, last, fence, now + body['holdMs'] / 1000)
        self.holds.append(hold)
        self.fences = [
            seen
            for seen in self.fences
            if not (first <= seen.first and seen.last <= last)
        ]
        self.fences.append(hold)
        return Reply(200, common)

    def drop(self, first: int, last: int) -> None:
        """Stop holding a range; what lies beyond it is kept."""
        kept = []
        for hold in self.holds:
            if hold.first > last or hold.last < first:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(Hold(hold.first, first - 1, hold.fence, hold.until))
            if hold.last > last:
                kept.append(Hold(last + 1, hold.last, hold.fence, hold.until))
        self.holds = kept
