"""Connections to targets while descriptors are few."""

import asyncio
from contextlib import asynccontextmanager

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from laburnumyard.gateway._target_connection_pool import TargetConnectionPool
from laburnumyard.intake import ConnectionLimits

pytestmark = pytest.mark.anyio
MOST = 3


@asynccontextmanager
async def listening():
    """Yield the address of a server that only accepts connections."""

    async def accept(reader, writer):
        await reader.read()
        writer.close()

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        yield f'{host}:{port}'


async def open_all(pool, address, number=MOST):
    """Open connections and return them."""
    opened = [
        await pool.acquire(address, is_repeatable=True) for _ in range(number)
    ]
    return [each.ok for each in opened]


@pytest.fixture
async def pool():
    return TargetConnectionPool(max_connections=lambda: MOST)


async def test_a_pool_with_as_many_requests_as_descriptors_is_full(
    pool, wait_until
):
    async with listening() as address:
        assert_that(pool.is_full, Is(False))
        connections = await open_all(pool, address)
        assert_that(pool.is_full, Is(True))
        connections[0].close()
        await wait_until(lambda: not pool.is_full)
        for connection in connections:
            connection.close()
        await wait_until(lambda: not pool.connections)


async def test_an_idle_connection_makes_room_for_a_new_one(pool, wait_until):
    async with listening() as address, listening() as other:
        connections = await open_all(pool, address)
        pool.release(connections[0], None)
        assert_that(pool.is_full, Is(False))
        opened = await pool.acquire(other, is_repeatable=True)
        assert_that(opened.is_ok(), Is(True))
        assert_that(pool.idle[address], Equals([]))
        await wait_until(lambda: len(pool.connections) == MOST)
        for connection in (*connections, opened.ok):
            connection.close()


async def test_a_connection_that_fails_is_not_counted(pool):
    async with listening() as address:
        unused = address
    opened = await pool.acquire(unused, is_repeatable=True)
    assert_that(opened.is_error(), Is(True))
    assert_that(pool.connections, HasLength(0))


async def test_a_cancelled_connection_is_not_counted(pool):
    async with listening() as address:
        with anyio.CancelScope() as scope:
            scope.cancel()
            await pool.acquire(address, is_repeatable=True)
    assert_that(pool.connections, HasLength(0))


# Callers leave an eighth to targets, and targets what callers don't use.
@pytest.mark.parametrize(
    ('callers', 'expected'), [(0, 750), (600, 150), (740, 125)]
)
def test_targets_get_what_callers_leave(callers, expected):
    limits = ConnectionLimits(descriptors=1000)
    assert_that(limits.target_limit(callers), Equals(expected))
