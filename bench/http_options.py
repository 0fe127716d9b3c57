"""Compare ways to send requests to a target over kept connections.

Start ``python -m standins.target --listen ADDRESS --name c1 --service
catalogue --fencing none --queue 100`` first, then run ``python -m
bench.http_options --address ADDRESS``, both with ``PYTHONPATH=src:.``.
"""

import os
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import anyio
import fire

from bench.http_senders import (
    SendOne,
    open_endpoint,
    open_kept,
    open_pool,
    open_protocol,
    open_stream,
)

EXPECTED_BYTES = 1024
US_PER_S = 1_000_000


@dataclass(slots=True)
class Option:
    """One way to send requests; ``open`` gives a caller's own sender."""

    name: str
    open: Callable[[str], Awaitable[SendOne]]


async def _repeat(send: SendOne, until: float, counts: list[int]) -> None:
    while time.monotonic() < until:
        body = await send()
        if len(body) != EXPECTED_BYTES:
            raise RuntimeError(f'{len(body)} bytes in place of a whole answer')
        counts.append(1)


async def _measure(
    option: Option,
    address: str,
    callers: int,
    duration_s: float,
) -> None:
    senders = [await option.open(address) for _ in range(callers)]
    counts: list[int] = []
    started_s = time.monotonic()
    spent_s = time.process_time()
    async with anyio.create_task_group() as tasks:
        for send in senders:
            tasks.start_soon(_repeat, send, started_s + duration_s, counts)
    elapsed_s = time.monotonic() - started_s
    spent_us = (time.process_time() - spent_s) * US_PER_S / len(counts)
    rate = len(counts) / elapsed_s
    name = option.name
    sys.stdout.write(f'{name}.requests_per_s={rate:.0f}\n')
    sys.stdout.write(f'{name}.processor_us={spent_us:.0f}\n')


async def _run(address: str, callers: int, duration_s: float) -> None:
    options = (
        Option('httpcore_pool', open_pool),
        Option('httpcore_connection', open_kept),
        Option('httpcore_endpoint', open_endpoint),
        Option('anyio_stream_httptools', open_stream),
        Option('asyncio_protocol_httptools', open_protocol),
    )
    for option in options:
        await _measure(option, address, callers, duration_s)
    sys.stdout.write(f'io_urings={count_rings()}\n')


def count_rings() -> int:
    """Return how many io_urings this process has open."""
    names = []
    for descriptor in Path('/proc/self/fd').iterdir():
        with suppress(FileNotFoundError):
            names.append(os.readlink(descriptor))
    return sum('io_uring' in name for name in names)


def main(
    address: str,
    callers: int = 20,
    duration_s: float = 3,
    uvloop: bool = False,
) -> None:
    """Print requests per second and processor time per request."""
    if uvloop:
        os.environ['UV_USE_IO_URING'] = '0'
    anyio.run(
        _run,
        address,
        callers,
        duration_s,
        backend_options={'use_uvloop': uvloop},
    )


if __name__ == '__main__':
    fire.Fire(main)
