import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

from laburnumyard.clients import (
    FailureKind,
    TargetConnection,
    TargetRequest,
    remove_hop_by_hop_headers,
)
from tests.clients.conftest import MAX_BODY_BYTES, TEST_TIMEOUT_S

pytestmark = pytest.mark.anyio

OK_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


def ask(echo, **query):
    options = ''.join(f'&{name}={text}' for name, text in query.items())
    return TargetRequest('GET', f'/catalogue/read?echo={echo}{options}')


async def open_to(address):
    opened = await TargetConnection.open(
        address, MAX_BODY_BYTES, TEST_TIMEOUT_S
    )
    return opened.ok


async def test_answers_are_whole_and_in_order(connection):
    for number in range(20):
        sent = await connection.send(ask(number, size=2000), TEST_TIMEOUT_S)
        start = f'echo={number} '.encode()
        assert_that(sent.ok.body.startswith(start), Is(True))
        assert_that(len(sent.ok.body), Equals(2000))
        assert_that(sent.ok.clock_ms > 0, Is(True))
    assert_that(connection.requests, Equals(20))
    assert_that(connection.is_reusable, Is(True))


async def test_concurrent_use_is_refused_before_a_byte_left(connection):
    outcomes = []

    async def send(echo):
        outcomes.append(await connection.send(ask(echo, work_ms=5), 20))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send, 'one')
        tasks.start_soon(send, 'two')
    refused, answered = outcomes
    assert_that(refused.error.kind, Is(FailureKind.NOT_REUSABLE))
    assert_that(refused.error.has_left, Is(False))
    assert_that(answered.ok.body.startswith(b'echo=one '), Is(True))


async def test_timeout_closes_and_a_late_answer_reaches_nobody(
    connection,
    target_app,
    wait_until,
):
    late = await connection.send(ask('late', work_ms=60_000), 0.02)
    assert_that(late.error.kind, Is(FailureKind.TIMEOUT))
    assert_that(late.error.has_left, Is(True))
    assert_that(connection.is_reusable, Is(False))
    after = await connection.send(ask('after'), TEST_TIMEOUT_S)
    assert_that(after.error.kind, Is(FailureKind.NOT_REUSABLE))
    await wait_until(lambda: target_app.state.log.runs[0].cancelled)


@pytest.mark.cell(step='send', fault='silent-connection')
async def test_silent_connection_is_given_up_and_a_new_one_works(
    connection,
    target_app,
    target_address,
):
    await connection.send(ask('before'), TEST_TIMEOUT_S)
    target_app.state.faults.silent = True
    target_app.state.settle_faults()
    silent = await connection.send(ask('silent'), 0.02)
    assert_that(silent.error.kind, Is(FailureKind.TIMEOUT))
    assert_that(silent.error.has_left, Is(True))
    assert_that(connection.is_reusable, Is(False))
    fresh = await open_to(target_address)
    sent = await fresh.send(ask('fresh'), TEST_TIMEOUT_S)
    assert_that(sent.ok.body.startswith(b'echo=fresh '), Is(True))
    echoes = [run.echo for run in target_app.state.log.runs]
    assert_that(echoes, Equals(['before', 'fresh']))
    fresh.close()


async def test_cancellation_closes_the_connection(
    connection,
    target_app,
    wait_until,
):
    with anyio.CancelScope() as scope:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(connection.send, ask('x', work_ms=60_000), 60)
            await wait_until(lambda: target_app.state.log.runs)
            scope.cancel()
    assert_that(connection.is_reusable, Is(False))
    await wait_until(lambda: target_app.state.log.runs[0].cancelled)


async def test_refused_connection_left_nothing():
    opened = await TargetConnection.open('127.0.0.1:9', 1000, TEST_TIMEOUT_S)
    assert_that(opened.error.kind, Is(FailureKind.UNREACHABLE))
    assert_that(opened.error.has_left, Is(False))


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
    ],
)
async def test_early_close_gives_no_part_of_an_answer(scripted_server, answer):
    async with scripted_server(answer) as address:
        connection = await open_to(address)
        sent = await connection.send(ask('x'), TEST_TIMEOUT_S)
    assert_that(sent.error.kind, Is(FailureKind.BROKE_OFF))
    assert_that(sent.error.has_left, Is(True))
    assert_that(connection.is_reusable, Is(False))


UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\nuntil the end'


async def test_an_answer_without_a_length_ends_with_its_connection(
    scripted_server,
):
    async with scripted_server(UNFRAMED) as address:
        connection = await open_to(address)
        sent = await connection.send(ask('x'), TEST_TIMEOUT_S)
    assert_that(sent.ok.body, Equals(b'until the end'))
    assert_that(connection.is_reusable, Is(False))


async def test_an_answer_without_a_length_that_is_reset_is_not_whole(
    scripted_server,
):
    async with scripted_server(UNFRAMED[:-4], hold=True) as address:
        connection = await open_to(address)
        connection.loop.call_later(0.05, connection.close)
        sent = await connection.send(ask('x'), TEST_TIMEOUT_S)
    assert_that(sent.error.kind, Is(FailureKind.BROKE_OFF))


async def test_garbage_is_typed_and_closes(scripted_server):
    async with scripted_server(b'garbage\r\n\r\n', hold=True) as address:
        connection = await open_to(address)
        sent = await connection.send(ask('x'), TEST_TIMEOUT_S)
    assert_that(sent.error.kind, Is(FailureKind.MALFORMED))
    assert_that(connection.is_reusable, Is(False))


async def test_unasked_second_answer_never_reaches_the_next_request(
    scripted_server,
    wait_until,
):
    async with scripted_server((OK_ANSWER, OK_ANSWER), hold=True) as address:
        connection = await open_to(address)
        first = await connection.send(ask('one'), TEST_TIMEOUT_S)
        await wait_until(lambda: not connection.is_reusable)
        second = await connection.send(ask('two'), TEST_TIMEOUT_S)
    assert_that(first.ok.body, Equals(b'ok'))
    assert_that(second.error.kind, Is(FailureKind.NOT_REUSABLE))
    assert_that(second.error.has_left, Is(False))


async def test_oversized_answer_is_refused(connection):
    sent = await connection.send(
        ask('x', size=MAX_BODY_BYTES + 1), TEST_TIMEOUT_S
    )
    assert_that(sent.error.kind, Is(FailureKind.TOO_LARGE))
    assert_that(connection.is_reusable, Is(False))


async def test_target_that_refuses_says_not_run(connection, target_app):
    target_app.state.faults.shed = True
    sent = await connection.send(ask('x'), TEST_TIMEOUT_S)
    assert_that(sent.ok.is_not_run, Is(True))
    assert_that(target_app.state.log.count, Equals(0))


async def test_head_keeps_the_connection(connection):
    path = '/catalogue/read?echo=x'
    head = await connection.send(TargetRequest('HEAD', path), TEST_TIMEOUT_S)
    assert_that(head.ok.body, Equals(b''))
    sent = await connection.send(ask('after'), TEST_TIMEOUT_S)
    assert_that(sent.ok.body.startswith(b'echo=after '), Is(True))


@pytest.mark.parametrize(
    'malformed',
    [
        TargetRequest('GET /x HTTP/1.1\r\n', '/x'),
        TargetRequest('GET', '/x y'),
        TargetRequest('GET', 'no-slash'),
        TargetRequest('GET', '/x', (('name', 'a\r\nb: c'),)),
        TargetRequest('GET', '/x', (('na:me', 'text'),)),
        TargetRequest('GET', '/x', (('name', 'Łódź'),)),
    ],
)
async def test_injection_is_refused_before_a_byte_left(connection, malformed):
    sent = await connection.send(malformed, TEST_TIMEOUT_S)
    assert_that(sent.error.kind, Is(FailureKind.BAD_REQUEST))
    assert_that(sent.error.has_left, Is(False))
    assert_that(connection.is_reusable, Is(True))


async def test_own_framing_wins_over_the_caller(connection):
    framing = (('Content-Length', '99'), ('transfer-encoding', 'chunked'))
    request = TargetRequest('POST', '/x?echo=x', framing, b'12345')
    sent = await connection.send(request, TEST_TIMEOUT_S)
    assert_that(sent.ok.status, Equals(200))
    kept = remove_hop_by_hop_headers(sent.ok.headers)
    assert_that(dict(kept), Not(Contains('content-length')))
