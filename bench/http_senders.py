"""Ways to send the same request to a target over kept connections."""

from collections.abc import Awaitable, Callable
from functools import cache, partial

import anyio
import httpcore

from laburnumyard.clients import TargetConnection, TargetRequest
from laburnumyard.transport._address import split_address
from laburnumyard.transport._endpoint import Endpoint, HttpRequest
from laburnumyard.transport._target_encoder import encode_head
from laburnumyard.transport._target_parser import ResponseParser, ResponseState

REQUEST = TargetRequest('GET', '/catalogue/read?echo=bench')
MAX_BODY_BYTES = 262_144
READ_BYTES = 65_536
TIMEOUT_S = 10
POOL_LIMIT = 100

SendOne = Callable[[], Awaitable[bytes]]


async def open_pool(address: str) -> SendOne:
    """Return a sender over one httpcore pool for all callers."""
    return partial(_send_httpcore, shared_pool(), address)


async def open_kept(address: str) -> SendOne:
    """Return a sender over one bare httpcore connection."""
    host, port = split_address(address)
    origin = httpcore.Origin(b'http', host.encode(), port)
    return partial(
        _send_httpcore,
        httpcore.AsyncHTTPConnection(origin),
        address,
    )


async def open_endpoint(address: str) -> SendOne:
    """Return a sender over the product's httpcore endpoint."""
    return partial(_send_endpoint, Endpoint(address))


async def open_stream(address: str) -> SendOne:
    """Return a sender over an anyio stream and httptools."""
    host, port = split_address(address)
    stream = await anyio.connect_tcp(host, port)
    return partial(
        _send_stream, stream, ResponseParser(MAX_BODY_BYTES), address
    )


async def open_protocol(address: str) -> SendOne:
    """Return a sender over the product's asyncio protocol and httptools."""
    opened = await TargetConnection.open(address, MAX_BODY_BYTES, TIMEOUT_S)
    return partial(_send_protocol, opened.ok)


@cache
def shared_pool() -> httpcore.AsyncConnectionPool:
    """Return the pool that all callers share."""
    return httpcore.AsyncConnectionPool(
        max_connections=POOL_LIMIT,
        max_keepalive_connections=POOL_LIMIT,
    )


async def _send_httpcore(
    sender: httpcore.AsyncConnectionPool | httpcore.AsyncHTTPConnection,
    address: str,
) -> bytes:
    url = f'http://{address}{REQUEST.path}'
    answer = await sender.request('GET', url)
    return answer.content


async def _send_endpoint(endpoint: Endpoint) -> bytes:
    request = HttpRequest('GET', REQUEST.path)
    answer = await endpoint.exchange(request, TIMEOUT_S)
    return answer.ok.body


async def _send_stream(
    stream: anyio.abc.ByteStream,
    parser: ResponseParser,
    address: str,
) -> bytes:
    parser.expect(is_head=False)
    with anyio.fail_after(TIMEOUT_S):
        await stream.send(encode_head(REQUEST, address) + REQUEST.body)
        state = ResponseState.WAITING
        while state is ResponseState.WAITING:
            state = parser.feed(await stream.receive(READ_BYTES))
    return parser.take().body


async def _send_protocol(connection: TargetConnection) -> bytes:
    answer = await connection.send(REQUEST, TIMEOUT_S)
    return answer.ok.body
