"""Print what the renewals of grants cost a lease manager for each target.

``python -m bench.control.renewals`` counts the bytes of real renewals: of HTTP
between the daemon's client and the stand-in of a target, and of the messages to
a guard, for targets that hold 1, 10 and 100 ranges. It counts the TCP segments
of renewals over HTTP at their real interval, with the kernel's own counters;
those of a guard's link are assumed. It counts the questions to targets without
fencing likewise.
"""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from bench.control.settings import PACKET_BYTES
from laburnumyard.clients import (
    GrantOrder,
    RenewOrder,
    SealOrder,
    TargetControl,
)
from laburnumyard.core.ids import Sequence, ServiceName, Term
from laburnumyard.core.key_hashing import HASH_SPACE, HashRange, split_evenly
from laburnumyard.daemon._ownership import LEAVING_POLL_INTERVAL_S
from laburnumyard.schema._generated import messages
from laburnumyard.schema._generated.settings import TimingSettings
from laburnumyard.wire import encode_frame
from standins._serve import serving
from standins.target import TargetApp, TargetSettings

RANGES = (1, 10, 100)
RENEWALS = 20
TIMEOUT_S = 5
SETTLE_S = 0.1
LIFETIME_MS = 1400
INTERVAL_S = TimingSettings().renew_interval_s
# From the design: what renewals may spend of the 12 KB/s of control.
RENEWAL_BYTES_PER_S = 8000
SERVICE = ServiceName('catalogue')
# A message and its acknowledgement, both ways, as if none shared a packet.
ASSUMED_SEGMENTS = 4
# Of the kernel's struct tcp_info: how long it is, and where it counts the
# segments sent and received.
TCP_INFO_BYTES = 144
SEGMENTS_OFFSET = 136
SEGMENT_COUNTS = struct.Struct('=II')


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


@dataclass(frozen=True, slots=True)
class Renewed:
    """What one renewal and its answer took.

    Parameters
    ----------
    payload_bytes
        The bytes of both, without TCP/IP.
    segments
        The TCP segments that carried and acknowledged both.
    """

    payload_bytes: float
    segments: float


Call = Callable[[TargetControl, Counter], Awaitable[int]]


async def measure_http(call: Call) -> Renewed:
    """Return what a control call over HTTP took.

    Parameters
    ----------
    call
        Makes the call again and again and returns the segments of all.
    """
    app = TargetApp(TargetSettings('catalogue-1', SERVICE, 3))
    async with serving(app) as address:
        counter = Counter(address)
        relay = await asyncio.start_server(counter.accept, '127.0.0.1', 0)
        host, port = relay.sockets[0].getsockname()
        control = TargetControl(f'{host}:{port}')
        segments = await call(control, counter)
        control.close()
        relay.close()
        await asyncio.sleep(SETTLE_S)
    return Renewed(counter.passed / RENEWALS, segments / RENEWALS)


async def renew_often(
    count: int,
    control: TargetControl,
    counter: Counter,
) -> int:
    """Grant ranges, then count bytes and return segments of renewals only."""
    ranges = split_evenly(HashRange(0, HASH_SPACE), count)
    sealed = await control.seal(SealOrder(SERVICE, Term(12)), TIMEOUT_S)
    clock = sealed.ok.clock_ms
    grant = (SERVICE, Term(12), Sequence(345), clock, LIFETIME_MS)
    granted = await control.grant(GrantOrder(*grant, ranges), TIMEOUT_S)
    await asyncio.sleep(INTERVAL_S)
    counter.passed = 0
    before = read_segments(control)
    for _ in range(RENEWALS):
        clock = granted.ok.clock_ms
        order = RenewOrder(SERVICE, Term(12), Sequence(345), clock, LIFETIME_MS)
        granted = await control.renew(order, TIMEOUT_S)
        if not granted.ok.accepted:
            raise RuntimeError(f'{order} was refused: {granted.ok}')
        await asyncio.sleep(INTERVAL_S)
    return read_segments(control) - before


async def ask_often(control: TargetControl, counter: Counter) -> int:
    """Ask whether the target is leaving, as one without fencing is asked."""
    await control.health(TIMEOUT_S)
    counter.passed = 0
    before = read_segments(control)
    for _ in range(RENEWALS):
        await asyncio.sleep(LEAVING_POLL_INTERVAL_S)
        await control.health(TIMEOUT_S)
    await asyncio.sleep(SETTLE_S)
    return read_segments(control) - before


def read_segments(control: TargetControl) -> int:
    """Return how many TCP segments the one kept connection has carried."""
    kept = control.idle[0].transport.get_extra_info('socket')
    told = kept.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    return sum(SEGMENT_COUNTS.unpack_from(told, SEGMENTS_OFFSET))


def measure_guard() -> Renewed:
    """Return what one renewal to a guard takes."""
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
        ranges=(),
        busy=1,
    )
    payload_bytes = len(encode_frame(renewal)) + len(encode_frame(answer))
    return Renewed(payload_bytes, ASSUMED_SEGMENTS)


def rate_of(renewed: Renewed, interval_s: float) -> float:
    """Return the bytes a second of a call that is made regularly."""
    whole = renewed.payload_bytes + renewed.segments * PACKET_BYTES
    return whole / interval_s


def show(kind: str, count: int, renewed: Renewed) -> None:
    """Print what one renewal took and what follows from it."""
    size = renewed.payload_bytes
    rate = rate_of(renewed, INTERVAL_S)
    print(f'renewal.{kind}_payload_bytes.ranges_{count}={size:.0f}')
    print(f'renewal.{kind}_segments.ranges_{count}={renewed.segments:.2f}')
    print(f'renewal.{kind}_bytes_per_s.ranges_{count}={rate:.0f}')
    targets = RENEWAL_BYTES_PER_S / rate
    print(f'renewal.{kind}_targets_a_daemon.ranges_{count}={targets:.2f}')


async def main() -> None:
    """Measure each number of ranges."""
    for count in RANGES:
        renew = partial(renew_often, count)
        show('http', count, await measure_http(renew))
        show('guard', count, measure_guard())
    asked = await measure_http(ask_often)
    print(f'health.payload_bytes={asked.payload_bytes:.0f}')
    print(f'health.segments={asked.segments:.2f}')
    print(f'health.bytes_per_s={rate_of(asked, LEAVING_POLL_INTERVAL_S):.0f}')


if __name__ == '__main__':
    asyncio.run(main())
