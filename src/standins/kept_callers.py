"""Callers that use their connections to gateways until these close them."""

import asyncio
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import anyio

from standins.gateway_cluster import GatewayCluster, GatewayProcess

INTERIM_STATUS = 100
# Longer than any deadline of the requests.
ANSWER_TIMEOUT_S = 8
MAX_BODY_BYTES = 1000
# How often a caller ends its sending side, leaves, pauses while it sends, and
# offers another protocol, in percent.
LAST_PERCENT = 5
LEAVES_PERCENT = 3
PAUSES_PERCENT = 20
OFFERS_PERCENT = 10
# What a caller may add to a request.
OFFER = (('connection', 'upgrade'), ('upgrade', 'h2c'))


@dataclass(slots=True)
class KeptCallers:
    """Callers with connections of their own, and what they saw.

    Parameters
    ----------
    cluster
        The gateways that they ask.
    seed
        Seed of what they send.

    Attributes
    ----------
    statuses
        How often each status came; 0 stands for a closed connection.
    unanswered
        Requests whose connection was closed, with their gateway and its
        process.
    swapped
        Requests that got the response to another one.
    """

    cluster: GatewayCluster
    seed: int
    statuses: 'Counter[int]' = field(default_factory=Counter)
    unanswered: list[tuple[str, str, int]] = field(default_factory=list)
    swapped: list[str] = field(default_factory=list)
    random: Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the draws."""
        self.random = Random(self.seed)

    async def use(self, gateway: GatewayProcess) -> None:
        """Use one connection after the other until cancelled."""
        while True:
            host, port = gateway.callers.split(':')
            with suppress(OSError):
                streams = await asyncio.open_connection(host, int(port))
                try:
                    await self.converse(gateway, *streams)
                finally:
                    streams[1].close()
            await anyio.sleep(self.random.uniform(0, 0.1))

    async def converse(
        self,
        gateway: GatewayProcess,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send requests, some at once, until the connection is closed."""
        while True:
            names = [
                f'kept-{next(self.cluster.numbers)}'
                for _ in range(self.random.choice((1, 1, 1, 2, 4)))
            ]
            process = gateway.process.pid if gateway.process else 0
            await self.send(writer, b''.join(map(self.encode, names)))
            is_last = self.happens(LAST_PERCENT)
            if is_last:
                writer.write_eof()
            for name in names:
                if self.happens(LEAVES_PERCENT):
                    # The caller leaves before its time limit.
                    writer.transport.abort()
                    return
                status = await self.read(reader, name)
                self.statuses[status] += 1
                if not status:
                    self.unanswered.append((name, gateway.name, process))
                    return
            if is_last:
                return
            await anyio.sleep(self.random.uniform(0, 0.15))

    def happens(self, percent: int) -> bool:
        """Draw whether something happens, given how often."""
        return self.random.randrange(100) < percent

    async def send(self, writer: asyncio.StreamWriter, raw: bytes) -> None:
        """Write requests, sometimes with a pause at any byte."""
        if self.happens(PAUSES_PERCENT):
            cut = self.random.randrange(len(raw))
            writer.write(raw[:cut])
            await anyio.sleep(self.random.uniform(0, 0.3))
            raw = raw[cut:]
        writer.write(raw)

    def encode(self, name: str) -> bytes:
        """Return a request; the body and the target vary in their form."""
        headers = dict(self.cluster.request_headers(self.random.randrange(9)))
        headers.pop('connection')
        headers['laburnumyard-attempt-id'] = name
        if self.happens(OFFERS_PERCENT):
            headers.update(OFFER)
        body = b'x' * self.random.choice((0, 0, 1, MAX_BODY_BYTES))
        headers['content-length'] = str(len(body))
        path = f'{self.cluster.routes[0]}1'
        target = self.random.choice((path, f'http://{headers["host"]}{path}'))
        lines = [f'POST {target} HTTP/1.1']
        lines.extend(f'{field}: {text}' for field, text in headers.items())
        return '\r\n'.join((*lines, '', '')).encode() + body

    async def read(self, reader: asyncio.StreamReader, name: str) -> int:
        """Return the status of the response to a request, 0 without one."""
        status = INTERIM_STATUS
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                while status == INTERIM_STATUS:
                    head = (await reader.readuntil(b'\r\n\r\n')).lower()
                    status = int(head.split(b' ')[1])
                length = head.split(b'content-length: ')[1].split(b'\r')[0]
                await reader.readexactly(int(length))
        except (asyncio.IncompleteReadError, OSError):
            return 0
        echoed = head.partition(b'laburnumyard-attempt-id: ')[2]
        if echoed and echoed.split(b'\r')[0].decode() != name:
            self.swapped.append(name)
        return status
