"""Gateways whose callers use up memory and descriptors.

The bounds follow from the settings of the gateway under test, so they hold on
any machine: the memory setting for the peak of its resident size, and the
descriptor setting. Times and shares of served requests are not checked.
"""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from standins.gateway_cluster import ClusterLimits, running_gateways
from standins.hostile_callers import (
    BulkTarget,
    Crowd,
    ProcessWatch,
    repeat,
    request_head,
    split,
)

pytestmark = pytest.mark.anyio
MEMORY_MB = 128
MAX_DESCRIPTORS = 256
# Small chunks cost much processor time; a smaller memory needs fewer of them.
SMALL_MEMORY_MB = 72
BYTES_PER_MB = 1_000_000
MIB = 1_048_576
BODY_BYTES = 8 * MIB
# More than the system buffers for a connection.
RESPONSE_BYTES = 6 * MIB
# The configuration allows 16,384 bytes; 3,800 lines of this size fit.
HEADER_LINES = 3800
CHUNKED = 'transfer-encoding: chunked'


def short_lines(line):
    head = request_head('GET', '/benches/1', 'h', *repeat(line, HEADER_LINES))
    return Crowd(24, tuple(repeat(head, 60)))


def endless_trailers():
    head = request_head('PUT', '/benches/1', 't', CHUNKED)
    begin = b'%b1\r\nx\r\n0\r\n' % head
    lines = b''.join(repeat(b't:\r\n', 65_536))
    return Crowd(8, (begin, *repeat(lines, 24)))


def whole_bodies():
    length = f'content-length: {BODY_BYTES}'
    head = request_head('PUT', '/benches/1', 'w', length)
    return Crowd(24, (head, bytes(BODY_BYTES - 1)))


def bodies_in_pieces():
    length = f'content-length: {BODY_BYTES}'
    head = request_head('PUT', '/benches/1', 'p', length)
    pieces = split(bytes(BODY_BYTES - 1), 262_144)
    return Crowd(24, (head, *pieces), pause_s=0.02)


def whole_requests():
    length = f'content-length: {BODY_BYTES}'
    head = request_head('PUT', '/benches/1', 'c', length)
    return Crowd(24, (head, bytes(BODY_BYTES)))


def small_chunks(content):
    head = request_head('PUT', '/benches/1', 'o', CHUNKED)
    chunk = b'%x\r\n%b\r\n' % (len(content), content)
    chunks = b''.join(repeat(chunk, 10_000))
    return Crowd(24, (head, *repeat(chunks, 5)))


def unread_responses():
    request = request_head('GET', '/benches/bulk', 'u')
    return Crowd(8, tuple(repeat(request, 8)))


def slow_readers():
    request = request_head('GET', '/benches/bulk', 's')
    return Crowd(100, (request,), hold_s=6, read_bytes_per_s=1024, gap_s=0.04)


def idle_connections():
    return Crowd(400, (request_head('GET', '/benches/1', 'i'),))


async def assert_survived(
    tmp_path, crowd, *, read_pause_s=0, memory_mb=MEMORY_MB
):
    targets = [
        BulkTarget(
            f'i-{number}',
            'catalogue',
            slots=40,
            work_s=0.2,
            response_bytes=RESPONSE_BYTES,
            read_pause_s=read_pause_s,
        )
        for number in range(2)
    ]
    limits = ClusterLimits(
        BODY_BYTES,
        (f'memory_mb = {memory_mb}', f'max_descriptors = {MAX_DESCRIPTORS}'),
    )
    async with running_gateways(
        tmp_path,
        targets,
        1,
        keyed=False,
        limits=limits,
    ) as cluster:
        gateway = cluster.gateways[0]
        watch = ProcessWatch(gateway.process.pid)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            await crowd.attack(gateway.callers)
            tasks.cancel_scope.cancel()
        assert_that(gateway.process.poll(), Equals(None))
        assert_that(watch.peak_bytes(), LessThan(memory_mb * BYTES_PER_MB))
        assert_that(watch.descriptors, LessThan(MAX_DESCRIPTORS + 1))
        # Fails by its own time-out if no ordinary request is answered.
        await cluster.wait_served()
        assert_that(gateway.process.poll(), Equals(None))


# Objects of header lines take many times the bytes of the lines.
@pytest.mark.parametrize('line', ['a:', '!:\t'])
async def test_heads_of_many_short_lines_stay_within_the_memory(tmp_path, line):
    await assert_survived(tmp_path, short_lines(line))


# Trailers are kept as headers, without a limit.
async def test_endless_trailers_stay_within_the_memory(tmp_path):
    await assert_survived(tmp_path, endless_trailers())


# Bodies of legal size are kept in several copies, and without a common limit.
@pytest.mark.parametrize(
    'build', [whole_bodies, bodies_in_pieces, whole_requests]
)
async def test_large_bodies_stay_within_the_memory(tmp_path, build):
    await assert_survived(tmp_path, build())


# Each small chunk is kept as an object of its own. The interpreter shares
# objects of one byte, but not of two.
@pytest.mark.parametrize('content', [b'x', b'xy'])
async def test_small_chunks_stay_within_the_memory(tmp_path, content):
    await assert_survived(
        tmp_path, small_chunks(content), memory_mb=SMALL_MEMORY_MB
    )


# Responses are written into a buffer whether or not the caller reads.
async def test_unread_pipelined_responses_stay_within_the_memory(tmp_path):
    await assert_survived(tmp_path, unread_responses())


# As above, with one response for each of many callers.
async def test_callers_that_read_slowly_stay_within_the_memory(tmp_path):
    await assert_survived(tmp_path, slow_readers())


# A request is copied for the target, and again by the socket's transport.
async def test_targets_that_read_slowly_stay_within_the_memory(tmp_path):
    await assert_survived(tmp_path, whole_requests(), read_pause_s=0.05)


# Each connection takes a descriptor, until none is left.
async def test_many_connections_stay_within_the_descriptors(tmp_path):
    await assert_survived(tmp_path, idle_connections())
