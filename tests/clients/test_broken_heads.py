"""A response whose head breaks off is never complete."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.transport import TargetConnection, TargetRequest

pytestmark = pytest.mark.anyio
MAX_BODY_BYTES = 65536
TIMEOUT_S = 5
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
WHOLE = (
    b'HTTP/1.1 200 OK\r\nlaburnumyard-instance-signature: s\r\n'
    b'Content-Length: 5\r\nkeep-alive: timeout=5\r\n\r\n12345'
)
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'5\r\n12345\r\n0\r\nx-sum: 7\r\n\r\n'
)
RESPONSES = {
    'length': WHOLE,
    'interim': CONTINUE + WHOLE,
    'chunks': CHUNKED,
    'empty': b'HTTP/1.1 204 No Content\r\nx-own: 7\r\n\r\n',
}


def reset_at_close(connection):
    linger = struct.pack('ii', 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@asynccontextmanager
async def target_that_sends(content, is_reset):
    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(content)
        await writer.drain()
        if is_reset:
            await asyncio.sleep(0.01)
            reset_at_close(writer.get_extra_info('socket'))
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        yield f'{host}:{port}'


async def response_to(content, *, is_reset=False, method='GET'):
    async with target_that_sends(content, is_reset) as address:
        opened = await TargetConnection.open(address, MAX_BODY_BYTES, TIMEOUT_S)
        sent = await opened.ok.send(TargetRequest(method, '/'), TIMEOUT_S)
        opened.ok.close()
    return sent


# MIXED, ORDER: a head that broke off became a 200 with an empty body.
@pytest.mark.parametrize('whole', RESPONSES.values(), ids=RESPONSES)
async def test_a_response_that_is_cut_anywhere_is_no_response(whole):
    cuts = (whole[:end] for end in range(len(whole)))
    for cut in cuts:
        sent = await response_to(cut)
        assert_that(sent.is_error(), Is(True), f'{cut}: {sent}')
        assert_that(sent.error.has_left, Is(True))
    assert_that((await response_to(whole)).is_ok(), Is(True))


@pytest.mark.parametrize('end', [0, 12, 30, len(WHOLE) - 5, len(WHOLE) - 1])
async def test_a_reset_in_a_response_is_no_response(end):
    sent = await response_to(WHOLE[:end], is_reset=True)
    assert_that(sent.is_error(), Is(True))


async def test_a_head_that_breaks_off_is_no_response_to_a_head_request():
    head = WHOLE[:-5]
    cut = await response_to(head[:-2], method='HEAD')
    assert_that(cut.is_error(), Is(True))
    assert_that((await response_to(head, method='HEAD')).is_ok(), Is(True))


async def test_a_response_without_a_length_that_is_reset_is_no_response():
    endless = b'HTTP/1.1 200 OK\r\nx-own: 7\r\n\r\n12345'
    sent = await response_to(endless, is_reset=True)
    assert_that(sent.is_error(), Is(True))
    assert_that((await response_to(endless)).ok.body, Equals(b'12345'))
