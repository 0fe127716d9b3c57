"""Requests in flight while many connections pipeline without end."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from laburnumyard.core.routes import CallerLimits
from laburnumyard.gateway._http_messages import CallerResponse
from laburnumyard.gateway._http_server import (
    MAX_PIPELINED_REQUESTS,
    CallerServer,
)
from laburnumyard.gateway._task_supervision import SupervisedTasks

pytestmark = pytest.mark.anyio
CALLERS = 40
REQUESTS = CALLERS * MAX_PIPELINED_REQUESTS
REQUEST = b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'
# Requests before which that of another caller is served.
MAX_RUNNING = 512


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


@asynccontextmanager
async def serving(gate):
    async with anyio.create_task_group() as tasks:
        server = CallerServer(
            gate.respond, CallerLimits, SupervisedTasks(tasks)
        )
        await server.listen('127.0.0.1:0')
        try:
            yield server
        finally:
            server.close_idle()
            tasks.cancel_scope.cancel()


async def connect(server):
    return await asyncio.open_connection(
        *server.listener.sockets[0].getsockname()
    )


# 2,560 requests were begun before that of a caller that came later.
async def test_pipelines_of_many_connections_are_bounded_together(
    gate, wait_until
):
    async with serving(gate) as server, AsyncExitStack() as stack:
        for _ in range(CALLERS):
            _, writer = await connect(server)
            stack.callback(writer.close)
            writer.write(REQUEST * MAX_PIPELINED_REQUESTS)
        await wait_until(lambda: server.in_flight >= REQUESTS)
        await anyio.wait_all_tasks_blocked()
        assert_that(gate.requests, LessThan(MAX_RUNNING))


async def test_all_requests_of_all_pipelines_are_served(gate):
    async with serving(gate) as server, AsyncExitStack() as stack:
        readers = []
        for _ in range(CALLERS):
            reader, writer = await connect(server)
            stack.callback(writer.close)
            writer.write(REQUEST * MAX_PIPELINED_REQUESTS)
            readers.append(reader)
        gate.opened.set()
        with anyio.fail_after(20):
            for reader in readers * MAX_PIPELINED_REQUESTS:
                await reader.readuntil(b'\r\n\r\n')
    assert_that(server.running.number, Equals(0))
