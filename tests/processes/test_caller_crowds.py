"""Callers that use up memory, descriptors and processor time of a process.

The bounds follow from the limits that each test sets: the memory limit for the
resident size together with the bytes in the sockets of callers, and the
descriptor limit. Times and shares of served requests are not checked.
"""

import os
import signal
from itertools import cycle, islice

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from standins.hostile_callers import Crowd, ProcessWatch, repeat, split
from standins.serving_processes import (
    ProcessLimits,
    ServingProgram,
    running_process,
)

pytestmark = pytest.mark.anyio
BYTES_PER_MB = 1_000_000
MIB = 1_048_576
BODY_BYTES = 8 * MIB
LIMITS = ProcessLimits(memory_mb=128, descriptors=256, body_bytes=BODY_BYTES)
CHUNKED = 'transfer-encoding: chunked'
CALLERS = 40
# 3,800 lines of four bytes fit the limit of 16,384 bytes for a head.
SHORT_LINES = 3800
ODD_LINES = 1500
ODD_LINE = '!{number:x}:\t~'
# Bodies of one byte in each chunk.
SMALL_CHUNKS = 2_000_000
CHUNKS_IN_PIECE = 10_000
LARGE_CHUNK_BYTES = MIB // 2
PIPELINED = 2000
CONNECTIONS = 400
STOP_AFTER_S = 1
# The longest grace of a program is 30 s.
STOP_TIMEOUT_S = 90
POLL_S = 0.1


def short_heads(process):
    head = process.head('GET', 'h', *repeat('a:', SHORT_LINES))
    return tuple(repeat(head, 60))


def odd_heads(process):
    lines = (ODD_LINE.format(number=number) for number in range(ODD_LINES))
    return tuple(repeat(process.head('GET', 'd', *lines), 60))


def endless_trailers(process):
    begin = b'%b1\r\nx\r\n0\r\n' % process.head('PUT', 't', CHUNKED)
    return (begin, *repeat(b't:\r\n' * 65_536, 24))


def whole_bodies(process):
    length = f'content-length: {BODY_BYTES}'
    return (process.head('PUT', 'w', length), bytes(BODY_BYTES - 1))


def bodies_in_pieces(process):
    length = f'content-length: {BODY_BYTES}'
    pieces = split(bytes(BODY_BYTES - 1), 262_144)
    return (process.head('PUT', 'p', length), *pieces)


def large_chunks(process):
    chunk = b'%x\r\n%b\r\n' % (LARGE_CHUNK_BYTES, bytes(LARGE_CHUNK_BYTES))
    whole = BODY_BYTES // LARGE_CHUNK_BYTES - 1
    last = chunk[:-3]
    return (process.head('PUT', 'l', CHUNKED), *repeat(chunk, whole), last)


def small_chunks(process):
    piece = b'1\r\nx\r\n' * CHUNKS_IN_PIECE
    pieces = repeat(piece, SMALL_CHUNKS // CHUNKS_IN_PIECE)
    return (process.head('PUT', 's', CHUNKED), *pieces)


def pipelined_requests(process):
    return tuple(repeat(process.head('GET', 'u') * PIPELINED, 60))


ALL_KINDS = (
    short_heads,
    odd_heads,
    endless_trailers,
    whole_bodies,
    bodies_in_pieces,
    large_chunks,
    small_chunks,
    pipelined_requests,
)


@pytest.fixture(params=ServingProgram, ids=lambda program: program.value)
async def process(request, tmp_path, monkeypatch):
    """Run a process that serves callers within limits."""
    for variable, text in LIMITS.variables().items():
        monkeypatch.setenv(variable, text)
    async with running_process(request.param, LIMITS, tmp_path) as running:
        yield running


@pytest.fixture
def assert_survived(process):
    """Return a check that a process survives callers within its limits."""

    async def attack(*crowds, address=process.address):
        watch = ProcessWatch(process.pid, address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            async with anyio.create_task_group() as callers:
                for crowd in crowds:
                    callers.start_soon(crowd.attack, address)
            tasks.cancel_scope.cancel()
        bound = process.limits.memory_mb * BYTES_PER_MB
        assert_that(is_running(process), Is(True))
        assert_that(watch.peak_bytes(), LessThan(bound))
        assert_that(watch.held_bytes, LessThan(bound))
        assert_that(watch.descriptors, LessThan(process.limits.descriptors + 1))
        # Fails by its own time-out if no ordinary request is served.
        await process.wait_answered()
        assert_that(is_running(process), Is(True))

    return attack


def is_running(process):
    with open(f'/proc/{process.pid}/stat') as stat:
        return stat.read().rpartition(')')[2].split()[0] != 'Z'


@pytest.mark.parametrize('pieces', ALL_KINDS)
async def test_callers_of_one_kind_stay_within_the_limits(
    process, assert_survived, pieces
):
    await assert_survived(Crowd(CALLERS, pieces(process)))


async def test_callers_of_all_kinds_stay_within_the_limits(
    process, assert_survived
):
    kinds = islice(cycle(ALL_KINDS), CALLERS)
    await assert_survived(*(Crowd(1, pieces(process)) for pieces in kinds))


# Each connection takes a descriptor, until none is left.
async def test_many_connections_stay_within_the_limits(
    process, assert_survived
):
    head = process.head('GET', 'i')
    await assert_survived(Crowd(CONNECTIONS, (head[:-1],)))


# Health checks and operators have listeners of their own on the same network.
async def test_callers_of_operators_stay_within_the_limits(
    process, assert_survived
):
    await assert_survived(
        Crowd(CALLERS, short_heads(process)),
        Crowd(CALLERS, odd_heads(process)),
        Crowd(CONNECTIONS, (process.head('GET', 'i')[:-1],)),
        address=process.operators,
    )


# A process that is told to stop ends, whatever its callers do meanwhile.
async def test_a_process_stops_beside_callers_of_all_kinds(process):
    kinds = islice(cycle(ALL_KINDS), CALLERS)
    watch = ProcessWatch(process.pid, process.address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)
        for pieces in kinds:
            tasks.start_soon(Crowd(1, pieces(process)).attack, process.address)
        await anyio.sleep(STOP_AFTER_S)
        os.kill(process.pid, signal.SIGTERM)
        with anyio.fail_after(STOP_TIMEOUT_S):
            while is_running(process):  # noqa: ASYNC110
                await anyio.sleep(POLL_S)
        tasks.cancel_scope.cancel()
    bound = process.limits.memory_mb * BYTES_PER_MB
    assert_that(watch.held_bytes, LessThan(bound))
    assert_that(watch.descriptors, LessThan(process.limits.descriptors + 1))


# A request inside the limits is served, however unusual it is.
@pytest.mark.parametrize(
    'lines',
    [
        tuple(repeat('a:', SHORT_LINES)),
        tuple(ODD_LINE.format(number=number) for number in range(ODD_LINES)),
    ],
)
async def test_a_single_unusual_request_is_served(process, lines):
    answer = await exchange(process, process.head('GET', 'one', *lines))
    assert_that(answer.split(b' ')[1], Equals(b'200'))


@pytest.mark.parametrize('size', [1, 7, LARGE_CHUNK_BYTES])
async def test_a_single_body_in_chunks_is_served(process, size):
    chunk = b'%x\r\n%b\r\n' % (size, bytes(size))
    body = chunk * max(1, 100_000 // size)
    head = process.head('PUT', 'one', CHUNKED)
    answer = await exchange(process, b'%b%b0\r\n\r\n' % (head, body))
    assert_that(answer.split(b' ')[1], Equals(b'200'))


async def exchange(process, sent):
    """Send raw bytes; return the head of the response."""
    host, _, port = process.address.rpartition(':')
    with anyio.fail_after(20):
        async with await anyio.connect_tcp(host, int(port)) as link:
            await link.send(sent)
            received = b''
            while b'\r\n\r\n' not in received:
                received += await link.receive()
    return received
