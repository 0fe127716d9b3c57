import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from laburnumyard.transport._endpoint import (
    MAX_IDLE_CONNECTIONS,
    Endpoint,
    ExchangeFault,
    HttpRequest,
)
from tests.clients.conftest import TEST_TIMEOUT_S

pytestmark = pytest.mark.anyio

READ = HttpRequest('GET', '/v1/keys/config/head')


@pytest.fixture
async def endpoint(store_address):
    client = Endpoint(store_address)
    yield client
    await client.close()


async def test_connection_is_kept(endpoint):
    await endpoint.exchange(READ, TEST_TIMEOUT_S)
    kept = endpoint.idle[0]
    await endpoint.exchange(READ, TEST_TIMEOUT_S)
    assert_that(endpoint.idle, Equals([kept]))


async def test_idle_connections_are_bounded(endpoint):
    async with anyio.create_task_group() as tasks:
        for _ in range(3 * MAX_IDLE_CONNECTIONS):
            tasks.start_soon(endpoint.exchange, READ, TEST_TIMEOUT_S)
    assert_that(endpoint.idle, HasLength(MAX_IDLE_CONNECTIONS))


async def test_cancelled_exchange_keeps_no_connection(
    endpoint,
    platform_app,
    wait_until,
):
    watch = HttpRequest('GET', '/v1/watch/x?after=0&timeout_ms=60000')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(endpoint.exchange, watch, 60)
        await wait_until(lambda: platform_app.calls['watch'])
        tasks.cancel_scope.cancel()
    assert_that(endpoint.idle, HasLength(0))


async def test_endless_answer_is_refused(scripted_server, monkeypatch):
    monkeypatch.setattr(
        'laburnumyard.transport._endpoint.MAX_ANSWER_BYTES',
        1000,
    )
    head = b'HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n'
    async with scripted_server((head, bytes(5000)), hold=True) as address:
        client = Endpoint(address)
        refused = await client.exchange(READ, TEST_TIMEOUT_S)
    assert_that(refused.error.fault, Is(ExchangeFault.TOO_LARGE))
    assert_that(client.idle, HasLength(0))


@pytest.mark.parametrize(
    'answer',
    [b'', b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nx'],
)
async def test_broken_exchange_may_have_left(scripted_server, answer):
    async with scripted_server(answer) as address:
        broken = await Endpoint(address).exchange(READ, TEST_TIMEOUT_S)
    assert_that(broken.error.fault, Is(ExchangeFault.BROKE_OFF))
    assert_that(broken.error.has_left, Is(True))


async def test_refused_exchange_left_nothing():
    refused = await Endpoint('127.0.0.1:9').exchange(READ, TEST_TIMEOUT_S)
    assert_that(refused.error.fault, Is(ExchangeFault.UNREACHABLE))
    assert_that(refused.error.has_left, Is(False))
