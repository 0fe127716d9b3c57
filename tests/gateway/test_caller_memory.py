import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, StartsWith

from laburnumyard.core.memory_account import MemoryAccount
from laburnumyard.core.routes import CallerLimits
from laburnumyard.gateway._http_messages import CallerResponse
from laburnumyard.intake import NO_LIMITS, ConnectionLimits
from tests.gateway.conftest import connect_caller, serving_callers

pytestmark = pytest.mark.anyio
LIMITS = CallerLimits(
    header_bytes=16_384,
    body_bytes=8_000_000,
    head_timeout_s=3,
    idle_timeout_s=3,
)
TIMEOUT_S = 5
ACCOUNT_BYTES = 4_000_000
CHUNKED = b'PUT /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'


def put(size, sent=None):
    """Return an upload, or only the first bytes of its body."""
    head = f'PUT /a HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n'
    sent = size if sent is None else sent
    return head.encode() + bytes(sent)


def chunked(rest):
    """Return a request with one chunk and what follows its last one."""
    return b'%b1\r\nx\r\n0\r\n%b' % (CHUNKED, rest)


class Echo:
    """Responds with the size of the body, after its gate is open."""

    def __init__(self):
        self.requests = []
        self.gate = anyio.Event()
        self.gate.set()

    async def serve(self, request):
        self.requests.append(request)
        size = len(request.body)
        await self.gate.wait()
        return CallerResponse(200, (), b'%d' % size)


def serving(echo, connection_limits=NO_LIMITS):
    return serving_callers(
        echo.serve,
        lambda: LIMITS,
        MemoryAccount(ACCOUNT_BYTES),
        connection_limits,
    )


async def read_all(reader):
    with anyio.fail_after(TIMEOUT_S):
        return await reader.read()


async def ask(server, raw):
    reader, writer = await connect_caller(server)
    writer.write(raw)
    with anyio.fail_after(TIMEOUT_S):
        head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return head


async def test_a_stalled_upload_is_refused_when_the_memory_is_full(wait_until):
    async with serving(Echo()) as server:
        reader, writer = await connect_caller(server)
        writer.write(put(3_000_000, 2_900_000))
        await wait_until(lambda: server.account.used_bytes > 2_900_000)
        head = await ask(server, put(2_000_000))
        assert_that(head, StartsWith(b'HTTP/1.1 200'))
        refusal = await read_all(reader)
        writer.close()
    assert_that(refusal, StartsWith(b'HTTP/1.1 503'))
    assert_that(refusal, Contains(b'retry-after: 1.000'))


# A refused request was passed on nevertheless.
async def test_a_refused_upload_is_never_served(wait_until):
    echo = Echo()
    async with serving(echo) as server:
        head = await ask(server, put(5_000_000))
        assert_that(head, StartsWith(b'HTTP/1.1 503'))
        assert_that(echo.requests, Equals([]))
        await wait_until(lambda: not server.account.used_bytes)


# Bytes stay counted after their request, so that the account fills up.
@pytest.mark.parametrize('size', [0, 100, 100_000, 2_000_000])
async def test_a_served_request_holds_nothing(wait_until, size):
    async with serving(Echo()) as server:
        head = await ask(server, put(size))
        assert_that(head, StartsWith(b'HTTP/1.1 200'))
        await wait_until(lambda: not server.account.used_bytes)
    assert_that(set(server.account.held.values()), Equals({0}))


# A small request is refused while large ones fill the account.
async def test_small_requests_are_served_beside_large_ones(wait_until):
    echo = Echo()
    echo.gate = anyio.Event()
    async with serving(echo) as server:
        large = [await connect_caller(server) for _ in range(3)]
        for _, writer in large:
            writer.write(put(1_100_000))
        await wait_until(lambda: len(echo.requests) == 3)
        reader, writer = await connect_caller(server)
        writer.write(put(1000))
        await wait_until(lambda: len(echo.requests) == 4)
        echo.gate.set()
        with anyio.fail_after(TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
        for _, each in (*large, (reader, writer)):
            each.close()
    assert_that(head, StartsWith(b'HTTP/1.1 200'))


# Reading goes on while requests are served, whatever they hold.
async def test_reading_pauses_while_a_connection_holds_its_share(wait_until):
    echo = Echo()
    echo.gate = anyio.Event()
    async with serving(echo) as server:
        reader, writer = await connect_caller(server)
        requests = 40
        writer.write(put(50_000) * requests)
        await wait_until(lambda: only_paused(server))
        assert_that(len(echo.requests) < requests, Is(True))
        echo.gate.set()
        await wait_until(lambda: len(echo.requests) == requests)
        with anyio.fail_after(TIMEOUT_S):
            for _ in range(requests):
                await reader.readuntil(b'50000')
        writer.close()


def only_paused(server):
    return all(each.is_read_paused for each in server.connections)


# Trailers are kept as headers, and without a limit.
async def test_trailers_within_the_limit_are_discarded():
    echo = Echo()
    async with serving(echo) as server:
        trailers = b'%b\r\n' % (b'a: b\r\n' * 500)
        head = await ask(server, chunked(trailers))
    assert_that(head, StartsWith(b'HTTP/1.1 200'))
    names = {name for name, _ in echo.requests[0].headers}
    assert_that(names, Equals({'host', 'transfer-encoding'}))


@pytest.mark.parametrize(
    'raw',
    [
        chunked(b'a: b\r\n' * 20_000),
        chunked(b'a' * 200_000),
        b'GET /%b HTTP/1.1\r\n' % (b'a' * 30_000),
        b'GET / HTTP/1.1\r\n%b\r\n' % (b'a:\r\n' * 8000),
    ],
)
async def test_parts_of_a_head_beyond_the_limit_are_rejected(raw):
    async with serving(Echo()) as server:
        head = await ask(server, raw)
    assert_that(head, StartsWith(b'HTTP/1.1 431'))


# The largest head of the shortest lines is inside the limits.
async def test_a_head_of_many_short_lines_within_the_limit_is_served():
    echo = Echo()
    async with serving(echo) as server:
        lines = b'a:\r\n' * 3800
        raw = b'GET / HTTP/1.1\r\nhost: a\r\n%b\r\n' % lines
        head = await ask(server, raw)
    assert_that(head, StartsWith(b'HTTP/1.1 200'))
    assert_that(len(echo.requests[0].headers), Equals(3801))


# One address takes all connections.
async def test_connections_of_one_address_are_bounded(wait_until):
    limits = ConnectionLimits(for_each_address=2)
    async with serving(Echo(), limits) as server:
        links = [await connect_caller(server) for _ in range(3)]
        assert_that(await read_all(links[2][0]), Equals(b''))
        links[0][1].close()
        await wait_until(lambda: len(server.connections) == 1)
        head = await ask(server, put(1))
        links[1][1].close()
    assert_that(head, StartsWith(b'HTTP/1.1 200'))


# A listener that paused never accepts again.
async def test_a_listener_without_descriptors_accepts_again(wait_until):
    limits = ConnectionLimits(descriptors=1, for_each_address=100)
    async with serving(Echo(), limits) as server:
        reader, _ = await connect_caller(server)
        assert_that(await read_all(reader), Equals(b''))
        assert_that(server.listener.is_paused, Is(True))
        server.listener.limits = ConnectionLimits()
        head = await ask(server, put(1))
    assert_that(head, StartsWith(b'HTTP/1.1 200'))


# One caller behind a load balancer, whose address all share, keeps the others
# out with connections on which it sends nothing.
async def test_an_idle_connection_makes_room_for_another_of_its_address(
    wait_until,
):
    limits = ConnectionLimits(for_each_address=2)
    async with serving(Echo(), limits) as server:
        links = [await connect_caller(server) for _ in range(2)]
        await wait_until(lambda: len(server.connections) == 2)
        for connection in server.connections:
            connection.active_at -= 2
        head = await ask(server, put(1))
        for _, writer in links:
            writer.close()
    assert_that(head, StartsWith(b'HTTP/1.1 200'))
