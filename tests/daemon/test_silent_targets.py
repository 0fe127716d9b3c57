import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.requests._connections import Reachability
from tests.daemon.raw_http import ask, connected, encode

pytestmark = [
    pytest.mark.anyio,
    pytest.mark.cell(step='answer', fault='silent-connection'),
]

EMPTY = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
HOLD = b''


async def ask_until_deadline(daemon):
    answer = await ask(daemon.callers, laburnumyard_deadline_ms=60)
    assert_that(answer.kind, Equals('deadline-after-start'))
    assert_that(answer.ran, Equals('unknown'))
    return daemon.targets.connection_pools['c1']


async def test_deadline_in_silence_casts_doubt_on_idle_connections(
    daemon, scripted
):
    async with scripted(EMPTY, HOLD) as target:
        daemon.configure(target.address)
        assert_that((await ask(daemon.callers)).status, Equals(200))
        pool = await ask_until_deadline(daemon)
        assert_that(pool.policy.reachability, Is(Reachability.SUSPECTED))


async def test_silence_of_fresh_connections_throttles_the_queue(
    daemon, scripted
):
    async with scripted(HOLD) as target:
        daemon.configure(target.address)
        pool = await ask_until_deadline(daemon)
        concurrency_limiter = daemon.targets.dispatchers[
            'c1'
        ].queue.concurrency_limiter
        assert_that(concurrency_limiter.current_limit, Equals(3))
        await ask_until_deadline(daemon)
        assert_that(pool.policy.reachability, Is(Reachability.UNREACHABLE))
        assert_that(concurrency_limiter.current_limit, Equals(1))
        assert_that(target.connections, Equals(2))


async def test_run_that_is_given_up_early_casts_no_doubt(
    daemon, scripted, wait_until
):
    async with scripted(HOLD) as target:
        daemon.configure(target.address)
        async with connected(daemon.callers) as caller:
            caller.send(encode())
            await wait_until(lambda: target.received)
        await wait_until(lambda: daemon.targets.is_idle)
        pool = daemon.targets.connection_pools['c1']
        assert_that(pool.policy.reachability, Is(Reachability.REACHABLE))
