"""Exchanges that must not reach a server that was restarted."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.transport import (
    FailureKind,
    TargetEndpoint,
    TargetRequest,
)
from laburnumyard.transport._target_endpoint import CONTINUITY_S

pytestmark = pytest.mark.anyio
TIMEOUT_S = 5
RENEWAL = TargetRequest('POST', '/grant', body=b'keys')
HEAD = 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{0}\r\n'


class Server:
    """Counts the requests of one start."""

    def __init__(self, extra_headers=''):
        self.response = HEAD.format(extra_headers).encode()
        self.requests = 0
        self.writers = []

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                await reader.readexactly(len(RENEWAL.body))
                self.requests += 1
                writer.write(self.response)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    @asynccontextmanager
    async def running(self, port=0):
        server = await asyncio.start_server(self.serve, '127.0.0.1', port)
        self.port = server.sockets[0].getsockname()[1]
        async with server:
            yield self
        for writer in self.writers:
            writer.transport.abort()


async def renew(endpoint, *, may_reconnect=False):
    return await endpoint.exchange(
        RENEWAL, TIMEOUT_S, may_reconnect=may_reconnect
    )


async def test_an_open_connection_is_used():
    async with Server().running() as server:
        endpoint = TargetEndpoint(f'127.0.0.1:{server.port}')
        await renew(endpoint, may_reconnect=True)
        await asyncio.sleep(2 * CONTINUITY_S)
        assert_that((await renew(endpoint)).is_ok(), Is(True))
        endpoint.close()


async def test_nothing_is_sent_to_a_server_that_started_anew():
    async with Server().running() as first:
        endpoint = TargetEndpoint(f'127.0.0.1:{first.port}')
        await renew(endpoint, may_reconnect=True)
    await asyncio.sleep(2 * CONTINUITY_S)
    async with Server().running(first.port) as second:
        refused = (await renew(endpoint)).error
        assert_that(refused.kind, Is(FailureKind.UNREACHABLE))
        assert_that((refused.has_left, second.requests), Equals((False, 0)))
        again = await renew(endpoint, may_reconnect=True)
        assert_that((again.is_ok(), second.requests), Equals((True, 1)))
        endpoint.close()


async def test_nothing_is_sent_before_a_first_response():
    async with Server().running() as server:
        refused = await renew(TargetEndpoint(f'127.0.0.1:{server.port}'))
    assert_that((refused.is_error(), server.requests), Equals((True, 0)))


async def test_a_server_that_closes_with_its_response_is_reached_at_once():
    async with Server('connection: close\r\n').running() as server:
        endpoint = TargetEndpoint(f'127.0.0.1:{server.port}')
        await renew(endpoint, may_reconnect=True)
        assert_that((await renew(endpoint)).is_ok(), Is(True))
        await asyncio.sleep(2 * CONTINUITY_S)
        assert_that((await renew(endpoint)).is_error(), Is(True))
