import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import pytest
from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, MatchesAny

from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.daemon._caller_app import CallerApp
from laburnumyard.daemon._http_responses import Response
from laburnumyard.daemon._metrics import Metrics
from tests.daemon.daemon_fixtures import listening, make_settings
from tests.daemon.raw_http import ask, connected, encode

LIMITS = {
    'body_bytes': 4096,
    'header_bytes': 2048,
    'body_timeout_s': 0.15,
    'callers': 4,
}


class Service:
    """Echoes the path and the body, or returns a set outcome."""

    def __init__(self):
        self.outcome = None
        self.served = []
        self.cancelled = 0
        self.release = anyio.Event()
        self.release.set()

    async def serve(self, request):
        self.served.append(request)
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if isinstance(self.outcome, Exception):
            raise self.outcome
        echo = f'{request.path} {request.body.decode("latin-1")}'.encode()
        return self.outcome or Ok(Response(200, (), echo))


@asynccontextmanager
async def serve_caller_app(service):
    configured = make_settings(limits=LIMITS)
    app = CallerApp(configured, service.serve, lambda: 'vm-1.1.1.1', Metrics())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(app.disconnect_watcher.run)
        async with listening(app, configured) as address:
            address.app = app
            yield address
        tasks.cancel_scope.cancel()


@pytest.fixture
async def service(anyio_backend):
    return Service()


@pytest.fixture
async def caller_address(service):
    async with serve_caller_app(service) as address:
        yield address


async def exchange(caller_address, sent):
    """Send raw bytes and read one response."""
    async with connected(caller_address) as caller:
        caller.send(sent)
        return await caller.read()


@pytest.mark.anyio
@pytest.mark.parametrize('kind', ErrorKind)
async def test_each_kind_gets_its_status_headers_and_ran(
    caller_address, service, kind
):
    failure = Failure(kind, 'seen')
    service.outcome = Error(failure)
    answer = await ask(caller_address)
    expected = failure.answer
    assert_that(answer.status, Equals(expected.status))
    assert_that(answer.kind, Equals(kind.value))
    assert_that(answer.ran, Equals(expected.ran.value))
    may_retry = answer.headers['laburnumyard-may-retry']
    assert_that(may_retry, Equals('yes' if expected.may_retry else 'no'))
    is_ticket_due = kind is ErrorKind.TICKET_REQUIRED
    assert_that(bool(answer.ticket), Is(is_ticket_due))


@pytest.mark.anyio
async def test_a_fault_of_the_daemon_is_answered_as_internal(
    caller_address, service
):
    service.outcome = ValueError('secret')
    answer = await ask(caller_address)
    assert_that(answer.kind, Equals('internal'))
    assert_that(answer.ran, Equals('unknown'))
    assert_that(answer.body, Contains(b'ValueError'))


FILLER = b'x' * 4096
LONG_CHUNK = b'1001\r\n%bx\r\n0\r\n\r\n' % FILLER
BAD_HEADS = (
    b'GET /catalogue/read HTP/1.1\r\n\r\n',
    b'\x00\x01\x02\x03\r\n\r\n',
    b'CONNECT host:80 HTTP/1.1\r\nhost: x\r\n\r\n',
    b'OPTIONS * HTTP/1.1\r\nhost: x\r\n\r\n',
    encode('OPTIONS'),
    encode('TRACE'),
    encode(path='/catalogue/\xff'),
    encode(path='/catalogue/\x01'),
    encode(path='/catalogue/../control/grant'),
    encode(path='/catalogue/%2e%2E/control/grant'),
    encode(path='/catalogue/a%2f..%2f..%2fcontrol'),
    encode(path='/catalogue/a%0d%0ax-evil:1'),
    encode(path='/catalogue/read?a\xff'),
    encode(x='a\x00b'),
    encode('POST', content_length='3', transfer_encoding='chunked', raw=b'abc'),
    encode('POST', content_length='3').replace(
        b'content-length: 3', b'content-length: 3\r\ncontent-length: 4'
    ),
    encode('POST', content_length='-1'),
    encode('POST', content_length='9' * 30),
    encode('POST', transfer_encoding='chunked', raw=b'zz\r\nabc'),
    encode('POST', transfer_encoding='gzip'),
    encode(laburnumyard_key=None),
    encode(laburnumyard_key='k' * 513),
    encode(laburnumyard_deadline_ms='1e3'),
    encode().replace(b'host: x', b'host: x\r\nlaburnumyard-key: other'),
    encode().replace(b'host: x', b'authorization: a\r\nauthorization: b'),
    encode().replace(b'host: x', b'laburnumyard-key : bench-17'),
    encode().replace(b'host: x', b'x: y\r\n folded'),
)


@pytest.mark.anyio
@pytest.mark.parametrize('sent', BAD_HEADS)
async def test_an_ambiguous_or_bad_request_is_refused(
    caller_address, service, sent
):
    answer = await exchange(caller_address, sent)
    assert_that(answer.status, Equals(400))
    assert_that(answer.kind, Equals('bad-request'))
    assert_that(service.served, Equals([]))
    assert_that((await ask(caller_address)).status, Equals(200))


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('sent', 'status', 'kind'),
    [
        (
            encode('POST', content_length='4097'),
            413,
            'body-too-large',
        ),
        (
            encode('POST', transfer_encoding='chunked', raw=LONG_CHUNK),
            413,
            'body-too-large',
        ),
        (encode(x_filler='x' * 2048), 431, 'headers-too-large'),
        # An endless head, of which no part is ever complete.
        (b'GET /%b' % FILLER, 431, 'headers-too-large'),
        (b'GET / HTTP/1.1\r\nx: %b' % FILLER, 431, 'headers-too-large'),
        (b'\r\n' * 2048, 431, 'headers-too-large'),
        (b'GET /catalogue/r', 408, 'sender-too-slow'),
        (encode('POST', content_length='3', raw=b'ab'), 408, 'sender-too-slow'),
        (
            encode('POST', transfer_encoding='chunked', raw=b'5\r\nab'),
            408,
            'sender-too-slow',
        ),
    ],
)
async def test_heads_and_bodies_are_bounded(
    caller_address, service, sent, status, kind
):
    async with connected(caller_address) as caller:
        caller.send(sent)
        answer = await caller.read()
        assert_that(answer.status, Equals(status))
        assert_that(answer.kind, Equals(kind))
        assert_that(await caller.read_end(), Equals(b''))
    assert_that(service.served, Equals([]))


@pytest.mark.anyio
async def test_a_slow_head_is_refused_though_bytes_keep_coming(caller_address):
    async with connected(caller_address) as caller:
        reading = asyncio.create_task(caller.read())
        while not reading.done():
            caller.send(b'G')
            await asyncio.sleep(0.02)
        answer = await reading
    assert_that(answer.status, MatchesAny(Equals(408), Equals(400)))


@pytest.mark.anyio
async def test_trailers_change_nothing(caller_address, service):
    chunked = encode('POST', transfer_encoding='chunked')
    body = b'2\r\nab\r\n0\r\nlaburnumyard-key: other\r\n\r\n'
    answer = await exchange(caller_address, chunked + body)
    assert_that(answer.status, Equals(200))
    assert_that(service.served[0].key, Equals('bench-17'))
    assert_that(service.served[0].body, Equals(b'ab'))


@pytest.mark.anyio
async def test_endless_trailers_are_refused(caller_address, service):
    chunked = encode('POST', transfer_encoding='chunked')
    async with connected(caller_address) as caller:
        caller.send(chunked)
        caller.send(b'2\r\nab\r\n0\r\n')
        await asyncio.sleep(0.02)
        caller.send(b'x: %b' % FILLER)
        answer = await caller.read()
    assert_that(answer.status, Equals(400))
    assert_that(service.served, Equals([]))


@pytest.mark.anyio
async def test_pipelined_requests_get_their_own_answers_in_order(
    caller_address,
):
    paths = [f'/catalogue/read?{number}' for number in range(50)]
    async with connected(caller_address) as caller:
        caller.send(b''.join(encode(path=path) for path in paths))
        answers = [await caller.read() for _ in paths]
    bodies = [answer.body.decode().strip() for answer in answers]
    assert_that(bodies, Equals(paths))


@pytest.mark.anyio
async def test_garbage_after_a_request_is_not_its_answer(
    caller_address, service
):
    async with connected(caller_address) as caller:
        service.release = anyio.Event()
        caller.send(encode(path='/catalogue/first'))
        caller.send(b'garbage\r\n\r\n')
        await asyncio.sleep(0.02)
        service.release.set()
        answer = await caller.read()
        assert_that(answer.status, Equals(200))
        assert_that(answer.body, Contains(b'/catalogue/first'))
        assert_that(await caller.read_end(), Equals(b''))


@pytest.mark.anyio
async def test_an_answer_to_head_has_no_body(caller_address, service):
    service.outcome = Ok(Response(200, (('x-length', '7'),), b'ignored'))
    async with connected(caller_address) as caller:
        caller.send(encode('HEAD') + encode(path='/catalogue/next'))
        head = await caller.read(is_head=True)
        service.outcome = None
        following = await caller.read()
    assert_that(head.headers, Contains('x-length'))
    assert_that(following.status, Equals(200))


@pytest.mark.anyio
async def test_headers_of_the_connection_are_not_passed_on(
    caller_address, service
):
    await ask(
        caller_address, x_trace='1', x_hop='2', connection='x-hop, keep-alive'
    )
    names = [name for name, _ in service.served[0].headers]
    assert_that(names, Equals(['x-trace']))


@pytest.mark.anyio
async def test_a_refusal_of_a_ticket_never_says_not_run(caller_address):
    ticket = {'laburnumyard_ticket': 'vm-1.1.1.1'}
    answers = (
        await ask(caller_address, laburnumyard_key=None, **ticket),
        await exchange(
            caller_address,
            encode(
                'POST', transfer_encoding='chunked', raw=b'zz\r\n', **ticket
            ),
        ),
    )
    for answer in answers:
        assert_that(answer.kind, Equals('bad-request'))
        assert_that(answer.ran, Equals(Ran.UNKNOWN.value))


@pytest.mark.anyio
async def test_requests_held_at_once_are_bounded(
    caller_address, service, wait_until
):
    service.release = anyio.Event()
    held = [asyncio.create_task(ask(caller_address)) for _ in range(4)]
    await wait_until(lambda: len(service.served) == 4)
    refused = await ask(caller_address)
    assert_that(refused.kind, Equals('overloaded'))
    assert_that(refused.ran, Equals('not-run'))
    service.release.set()
    for one in held:
        assert_that((await one).status, Equals(200))
    assert_that((await ask(caller_address)).status, Equals(200))
    assert_that(caller_address.app.in_flight, Equals(0))


@pytest.mark.anyio
async def test_connections_are_bounded(caller_address, wait_until):
    """Idle ones count too: each uses a descriptor a target may need."""
    async with AsyncExitStack() as stack:
        for _ in range(8):
            await stack.enter_async_context(connected(caller_address))
        connections = caller_address.server.server_state.connections
        await wait_until(lambda: len(connections) == 8)
        async with connected(caller_address) as one_more:
            assert_that(await one_more.read_end(), Equals(b''))
    await wait_until(lambda: not connections)
    assert_that((await ask(caller_address)).status, Equals(200))


@pytest.mark.anyio
@pytest.mark.cell(step='drain', fault='cut')
async def test_a_daemon_that_leaves_sends_its_callers_away(
    caller_address, service
):
    """Otherwise the connection would close on the caller's next request."""
    service.outcome = Error(Failure(ErrorKind.SHUTTING_DOWN))
    async with connected(caller_address) as caller:
        caller.send(encode())
        answer = await caller.read()
        assert_that(answer.headers['connection'], Equals('close'))
        assert_that(await caller.read_end(), Equals(b''))


@pytest.mark.anyio
@pytest.mark.cell(step='cancel', fault='cut')
async def test_a_caller_that_leaves_cancels_its_work(
    caller_address, service, wait_until
):
    service.release = anyio.Event()
    async with connected(caller_address) as caller:
        caller.send(encode())
        await wait_until(lambda: service.served)
    await wait_until(lambda: service.cancelled == 1)
    assert_that(caller_address.app.in_flight, Equals(0))


@pytest.mark.anyio
async def test_a_request_is_in_flight_until_its_answer_is_sent(
    caller_address, service
):
    """Otherwise a drain could end before the response is sent."""
    service.outcome = Ok(Response(200, (), b'x' * 8_000_000))
    async with connected(caller_address) as caller:
        caller.send(encode())
        await caller.reader.readexactly(1)
        assert_that(caller_address.server.is_flushed, Is(False))
        caller.reader._limit = 1 << 24
        await caller.reader.readexactly(8_000_000)
    assert_that(caller_address.app.in_flight, Equals(0))


VALID = encode('POST', body=b'abc')
FRAGMENTS = st.one_of(
    st.binary(max_size=40),
    st.sampled_from(
        (
            VALID,
            VALID[:30],
            b'\r\n',
            b'\r\n\r\n',
            b'POST /catalogue/x HTTP/1.1\r\n',
            b'laburnumyard-key: k\r\n',
            b'content-length: 4\r\n',
            b'transfer-encoding: chunked\r\n\r\n',
            b'3\r\nabc\r\n',
            b'0\r\n\r\n',
            b'connection: upgrade\r\nupgrade: h2c\r\n',
            b'expect: 100-continue\r\n',
        )
    ),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.lists(FRAGMENTS, max_size=8), min_size=1, max_size=12))
def test_any_bytes_are_answered_or_the_connection_is_closed(connections):
    anyio.run(send_all, connections)


async def send_all(connections):
    async with serve_caller_app(Service()) as caller_address:
        for fragments in connections:
            await send_fragments(caller_address, fragments)
        assert_that((await ask(caller_address)).status, Equals(200))
        assert_that(caller_address.app.in_flight, Equals(0))


async def send_fragments(caller_address, fragments):
    async with connected(caller_address) as caller:
        for fragment in fragments:
            caller.send(fragment)
            await asyncio.sleep(0)
        # Closes the connection once all responses have been read.
        caller.writer.write_eof()
        await caller.read_end()


# A connection with pipelined requests is not read, so that its end goes
# unnoticed and its request runs for nobody.
@pytest.mark.anyio
async def test_a_caller_that_pipelines_and_leaves_is_cancelled(
    caller_address, service, wait_until
):
    service.release = anyio.Event()
    async with connected(caller_address) as caller:
        caller.send(encode() * 3)
        await wait_until(lambda: len(service.served) == 1)
    await wait_until(lambda: service.cancelled == 1)
    assert_that(len(service.served), Equals(1))
