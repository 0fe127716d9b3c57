"""Parser calls that connections take between two iterations of the loop."""

import asyncio
import socket
import struct

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan, StartsWith

from laburnumyard.gateway._http_messages import CallerResponse
from laburnumyard.gateway._http_request_reader import RequestReader
from tests.gateway.conftest import connect_caller, serving_callers

pytestmark = pytest.mark.anyio
CALLERS = 20
CHUNKS = 40_000
CHUNKED = b'PUT /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
SMALL_CHUNKS = b'1\r\nx\r\n' * CHUNKS
# Some thousand calls for each connection, which take a few milliseconds.
MAX_CALLS = 65_536
TIMEOUT_S = 20
# Makes ``close`` reset the connection.
RESET = struct.pack('ii', 1, 0)


class ParserCalls:
    """Counts parts of bodies, in total and in one iteration of the loop."""

    def __init__(self):
        self.total = 0
        self.most = 0

    async def watch(self):
        before = self.total
        while True:
            await anyio.lowlevel.checkpoint()
            self.most = max(self.most, self.total - before)
            before = self.total


@pytest.fixture
def parser_calls(monkeypatch):
    calls = ParserCalls()
    on_body = RequestReader.on_body

    def count(reader, body):
        calls.total += 1
        on_body(reader, body)

    monkeypatch.setattr(RequestReader, 'on_body', count)
    return calls


async def respond(request):
    return CallerResponse(200)


def connect(server):
    """Return a socket with room for all that a caller sends."""
    link = socket.create_connection(server.listener.sockets[0].getsockname())
    link.setblocking(False)
    return link


async def send(link, content):
    loop = asyncio.get_running_loop()
    with anyio.move_on_after(TIMEOUT_S):
        await loop.sock_sendall(link, content)


# All that had arrived on all connections was parsed before anything else.
async def test_parser_calls_in_one_iteration_are_bounded(
    parser_calls, wait_until
):
    async with (
        serving_callers(respond) as server,
        anyio.create_task_group() as tasks,
    ):
        links = [connect(server) for _ in range(CALLERS)]
        await anyio.wait_all_tasks_blocked()
        tasks.start_soon(parser_calls.watch)
        async with anyio.create_task_group() as callers:
            for link in links:
                callers.start_soon(send, link, CHUNKED + SMALL_CHUNKS)
        for link in links:
            link.close()
        await wait_until(lambda: not server.connections)
        tasks.cancel_scope.cancel()
    assert_that(parser_calls.most, LessThan(MAX_CALLS))


# Guards what holds already: the rest of a caller that resets its connection is
# dropped with it.
async def test_the_rest_of_a_caller_that_left_is_not_parsed(
    parser_calls, wait_until
):
    async with serving_callers(respond) as server:
        link = connect(server)
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        with anyio.move_on_after(0.2):
            await send(link, CHUNKED + SMALL_CHUNKS * 100)
        link.close()
        await wait_until(lambda: not server.connections)
    assert_that(parser_calls.total, LessThan(100 * CHUNKS // 4))


# A body of one byte in each chunk is inside the limits.
async def test_a_single_body_in_many_small_chunks_is_served(parser_calls):
    async with serving_callers(respond) as server:
        reader, writer = await connect_caller(server)
        writer.write(b'%b%b0\r\n\r\n' % (CHUNKED, SMALL_CHUNKS * 10))
        with anyio.fail_after(TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
    assert_that(head, StartsWith(b'HTTP/1.1 200'))
    assert_that(parser_calls.total, Equals(10 * CHUNKS))
