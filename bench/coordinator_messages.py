"""Processor time of the path of one gateway's messages at a coordinator.

Frames of slot requests and outcomes go through decoding, the coordinator's
roles, the dispatcher, the scheduler, the log and the encoding of permits, on a
link without a socket.
"""

import asyncio
import cProfile
import os
import pstats
import sys
import time
from types import SimpleNamespace

from laburnumyard.core.ids import DataCentre, Seconds, ServiceName, TargetId
from laburnumyard.core.rate_limits import NO_LIMIT
from laburnumyard.core.scheduling import Scheduler, SchedulerSettings
from laburnumyard.core.shards import ShardManager, ShardSettings
from laburnumyard.core.target_directory import (
    TargetLife,
    TargetRecord,
    TargetState,
)
from laburnumyard.gateway._coordinator_roles import (
    Coordination,
    CoordinatorRole,
    Link,
)
from laburnumyard.gateway._derived_settings import LINK_SETTINGS
from laburnumyard.gateway._limit_messages import encode_statement
from laburnumyard.gateway._slot_dispatcher import SlotDispatcher
from laburnumyard.schema._generated import messages
from laburnumyard.telemetry import _log as log
from laburnumyard.wire._framing import LENGTH_BYTES, encode_frame

SERVICE = ServiceName('catalogue')
TARGETS = 130
SLOTS = 4
REQUESTS = 20_000
# Requests in flight: half of the slots.
IN_FLIGHT = 260
KEYS = 65_536
WIDTH = 7919


class MemoryTransport:
    """Keeps what a link writes."""

    def __init__(self) -> None:
        """Start empty."""
        self.written: list[bytes] = []

    def write(self, frames: bytes) -> None:
        """Keep frames."""
        self.written.append(frames)

    def abort(self) -> None:
        """Close nothing."""


class CoordinatorLink(Link):
    """A link of a gateway to the measured coordinator."""

    def __init__(self, coordination: Coordination) -> None:
        """Complete the handshake."""
        super().__init__(_hello('edge-0'), LINK_SETTINGS)
        self.coordination = coordination
        self.remote = _hello('edge-1')
        self.memory = MemoryTransport()
        self.transport = self.memory
        self.writer.resume(self.memory)

    def handle(self, message: messages.Message) -> None:
        """Pass a message to the coordinator."""
        self.coordination.handle_message(message, self)


def _hello(name: str) -> messages.Hello:
    return messages.Hello(name, 1, 'lima-a', 'lima', f'{name}:7000')


def build_coordination() -> Coordination:
    """Return a coordinator of one keyed service whose keys are held."""
    view = SimpleNamespace(on_directory=[], on_coordinators=[], coordinators={})
    coordination = Coordination(None, view, None, None, None, None)
    manager = ShardManager(ShardSettings(hold_s=600))
    dispatcher = SlotDispatcher(
        SERVICE, Scheduler(SchedulerSettings(), manager)
    )
    records = [
        TargetRecord(
            TargetLife(TargetId(f'i-{number:010x}'), 1),
            SERVICE,
            f'10.0.0.{number}:8000',
            DataCentre('lima-a'),
            SLOTS,
            TargetState.READY,
            Seconds(0),
        )
        for number in range(TARGETS)
    ]
    dispatcher.update(records)
    lives = {record.target: record.life for record in records}
    moves = manager.plan(lives, {}, Seconds(0))
    manager.apply(moves, 1, Seconds(0))
    for piece in manager.pieces:
        piece.former_holders = ()
        piece.phase = type(piece.phase).HELD
        piece.held_until = float('inf')
    coordination.roles[SERVICE] = CoordinatorRole(1, dispatcher)
    return coordination


def ask_frame(number: int) -> bytes:
    """Return the frame of a slot request."""
    message = messages.Ask(
        number=0,
        service=SERVICE,
        attempt_id=f'a3f8-{number:08x}',
        route='results-lookup',
        rank=2,
        key=number * WIDTH % KEYS,
        data_centre='lima-a',
        due_ms=608,
        expires_ms=2532,
        returned=False,
        excluded=(),
        fingerprint=b'0123456789abcdef',
        sends=0,
        waited_ms=0,
    )
    return encode_frame(message, number)


def done_frame(number: int) -> bytes:
    """Return the frame of an outcome."""
    return encode_frame(
        messages.Done(number, 'answered', 2048, encode_statement(NO_LIMIT))
    )


async def run_frames(frames: list[bytes]) -> int:
    """Feed frames to a link; return the nanoseconds of processor time."""
    link = CoordinatorLink(build_coordination())
    begun = time.thread_time_ns()
    for frame in frames:
        link.data_received(frame)
        if link.writer.queue.control.waiting_bytes > 4096:
            await asyncio.sleep(0)
    await asyncio.sleep(0)
    log.DECISION_LOG.flush()
    spent = time.thread_time_ns() - begun
    permits = sum(map(len, link.memory.written))
    print(f'  permits bytes={permits} frames={len(frames)}')
    return spent


def decode_time(frames: list[bytes]) -> int:
    """Return the processor time of decoding alone."""
    begun = time.thread_time_ns()
    for frame in frames:
        messages.decode(frame[LENGTH_BYTES:])
    return time.thread_time_ns() - begun


def encode_time() -> int:
    """Return the processor time of encoding the permits alone."""
    permit = messages.Permit(
        7, 'i-0123456789', 1_700_000_000_000, '10.0.0.1:8000', '', 0, 74
    )
    begun = time.thread_time_ns()
    for number in range(REQUESTS):
        encode_frame(permit, number)
    return time.thread_time_ns() - begun


def frames_in_order() -> list[bytes]:
    """Return the frames of requests of which some are in flight."""
    frames = []
    for number in range(1, REQUESTS + 1):
        frames.append(ask_frame(number))
        if number > IN_FLIGHT:
            frames.append(done_frame(number - IN_FLIGHT))
    return frames


def main() -> None:
    """Print the processor time for each request."""
    log.logger.remove()
    sink = os.open(os.devnull, os.O_WRONLY)
    log.logger.add(log.NonBlockingOutput(sink).write, format=log.LINE_FORMAT)
    frames = frames_in_order()
    if '--profile' in sys.argv:
        profile = cProfile.Profile()
        profile.enable()
        asyncio.run(run_frames(frames))
        profile.disable()
        pstats.Stats(profile).sort_stats('tottime').print_stats(32)
        return
    print(f'messages targets={TARGETS} requests={REQUESTS}')
    for label, spent in (
        ('whole', asyncio.run(run_frames(frames))),
        ('decode', decode_time(frames)),
        ('encode', encode_time()),
    ):
        print(f'  {label} us_per_request={spent / REQUESTS / 1000:.1f}')


if __name__ == '__main__':
    main()
