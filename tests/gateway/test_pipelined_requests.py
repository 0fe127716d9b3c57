"""Requests in flight while many connections pipeline without end."""

import socket
import struct
from contextlib import AsyncExitStack

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from laburnumyard.gateway._http_messages import CallerResponse
from laburnumyard.gateway._http_server import MAX_PIPELINED_REQUESTS
from tests.gateway.conftest import connect_caller, serving_callers

pytestmark = pytest.mark.anyio
CALLERS = 40
REQUESTS = CALLERS * MAX_PIPELINED_REQUESTS
REQUEST = b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'
# Requests before which that of another caller is served.
MAX_RUNNING = 512
# Makes ``close`` reset the connection.
RESET = struct.pack('ii', 1, 0)


class Gate:
    """Responds to requests when it is opened."""

    def __init__(self):
        self.opened = anyio.Event()
        self.requests = 0

    async def respond(self, request):
        self.requests += 1
        await self.opened.wait()
        return CallerResponse(200)


@pytest.fixture
async def gate():
    return Gate()


# 2,560 requests were begun before that of a caller that came later.
async def test_pipelines_of_many_connections_are_bounded_together(
    gate, wait_until
):
    async with (
        serving_callers(gate.respond) as server,
        AsyncExitStack() as stack,
    ):
        for _ in range(CALLERS):
            _, writer = await connect_caller(server)
            stack.callback(writer.close)
            writer.write(REQUEST * MAX_PIPELINED_REQUESTS)
        await wait_until(lambda: server.in_flight >= REQUESTS)
        await anyio.wait_all_tasks_blocked()
        assert_that(gate.requests, LessThan(MAX_RUNNING))


async def test_all_requests_of_all_pipelines_are_served(gate):
    async with (
        serving_callers(gate.respond) as server,
        AsyncExitStack() as stack,
    ):
        readers = []
        for _ in range(CALLERS):
            reader, writer = await connect_caller(server)
            stack.callback(writer.close)
            writer.write(REQUEST * MAX_PIPELINED_REQUESTS)
            readers.append(reader)
        gate.opened.set()
        with anyio.fail_after(20):
            for reader in readers * MAX_PIPELINED_REQUESTS:
                await reader.readuntil(b'\r\n\r\n')
    assert_that(server.running.number, Equals(0))


# A connection with as many requests as it may have is not read, and nobody
# noticed that its caller had left: its requests went on to targets.
async def test_a_caller_that_resets_an_unread_connection_is_noticed(
    gate, wait_until
):
    async with serving_callers(gate.respond) as server:
        _, writer = await connect_caller(server)
        link = writer.get_extra_info('socket')
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.write(REQUEST * (MAX_PIPELINED_REQUESTS + CALLERS))
        await wait_until(lambda: server.in_flight >= MAX_PIPELINED_REQUESTS)
        writer.transport.abort()
        await wait_until(lambda: not server.connections)
        await wait_until(lambda: not server.running.number)
