"""Print what the renewals of grants cost a lease manager for each target.

``python -m bench.control.renewals`` counts the bytes of real renewals: of HTTP
between the daemon's client and the stand-in of a target, and of the messages to
a guard, for targets that hold 1, 10 and 100 ranges.
"""

import asyncio
from dataclasses import dataclass

from bench.control.settings import PACKET_BYTES
from laburnumyard.core.ids import Sequence, ServiceName, Term
from laburnumyard.core.keys import HASH_SPACE, HashRange, split_evenly
from laburnumyard.platform import (
    GrantOrder,
    RenewOrder,
    SealOrder,
    TargetControl,
)
from laburnumyard.schema._generated import messages
from laburnumyard.wire import encode_frame
from standins._serve import serving
from standins.target import TargetApp, TargetSettings

RANGES = (1, 10, 100)
RENEWALS = 20
TIMEOUT_S = 5
SETTLE_S = 0.1
LIFETIME_MS = 1400
INTERVAL_S = 0.2
# From the design: what renewals may spend of the 12 KB/s of control.
RENEWAL_BYTES_PER_S = 8000
SERVICE = ServiceName('catalogue')


@dataclass(slots=True)
class Counter:
    """Counts the bytes that pass in both directions.

    Parameters
    ----------
    address
        Where the bytes go.
    passed
        How many bytes have passed.
    """

    address: str
    passed: int = 0

    async def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Carry one connection."""
        host, port = self.address.split(':')
        there = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self.carry(reader, there[1]),
            self.carry(there[0], writer),
        )

    async def carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Carry one direction."""
        while received := await reader.read(1 << 16):
            self.passed += len(received)
            writer.write(received)
        writer.close()


async def measure_http(count: int) -> float:
    """Return the bytes of one renewal over HTTP and of its answer."""
    app = TargetApp(TargetSettings('catalogue-1', SERVICE, 3))
    async with serving(app) as address:
        counter = Counter(address)
        relay = await asyncio.start_server(counter.accept, '127.0.0.1', 0)
        host, port = relay.sockets[0].getsockname()
        control = TargetControl(f'{host}:{port}')
        await renew_often(control, counter, count)
        control.close()
        relay.close()
        await asyncio.sleep(SETTLE_S)
    return counter.passed / RENEWALS


async def renew_often(
    control: TargetControl,
    counter: Counter,
    count: int,
) -> None:
    """Grant ranges, then count renewals only."""
    ranges = split_evenly(HashRange(0, HASH_SPACE), count)
    sealed = await control.seal(SealOrder(SERVICE, Term(12)), TIMEOUT_S)
    clock = sealed.ok.clock_ms
    grant = (SERVICE, Term(12), Sequence(345), clock, LIFETIME_MS)
    granted = await control.grant(GrantOrder(*grant, ranges), TIMEOUT_S)
    counter.passed = 0
    for _ in range(RENEWALS):
        clock = granted.ok.clock_ms
        order = RenewOrder(SERVICE, Term(12), Sequence(345), clock, LIFETIME_MS)
        granted = await control.renew(order, TIMEOUT_S)
        if not granted.ok.accepted:
            raise RuntimeError(f'{order} was refused: {granted.ok}')


def measure_guard(count: int) -> int:
    """Return the bytes of one renewal to a guard and of its answer."""
    ranges = tuple(
        messages.OwnedRange(start=one.start, last=one.stop - 1, target='')
        for one in split_evenly(HashRange(0, HASH_SPACE), count)
    )
    renewal = messages.GuardGrant(
        number=1,
        service=SERVICE,
        target='catalogue-1',
        term=12,
        sequence=345,
        clock_ms=1,
        lifetime_ms=LIFETIME_MS,
        ranges=(),
        replaces=False,
    )
    answer = messages.GuardAnswer(
        number=1,
        accepted=True,
        term=12,
        sequence=345,
        clock_ms=1,
        ranges=ranges,
        busy=1,
    )
    return len(encode_frame(renewal)) + len(encode_frame(answer))


def show(kind: str, count: int, size: float) -> None:
    """Print the bytes of one renewal and what follows from them."""
    whole = size + 4 * PACKET_BYTES
    rate = whole / INTERVAL_S
    print(f'renewal.{kind}_payload_bytes.ranges_{count}={size:.0f}')
    print(f'renewal.{kind}_bytes_per_s.ranges_{count}={rate:.0f}')
    targets = RENEWAL_BYTES_PER_S / rate
    print(f'renewal.{kind}_targets_a_daemon.ranges_{count}={targets:.2f}')


async def main() -> None:
    """Measure each number of ranges."""
    for count in RANGES:
        show('http', count, await measure_http(count))
        show('guard', count, measure_guard(count))


if __name__ == '__main__':
    asyncio.run(main())
