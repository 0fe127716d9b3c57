import asyncio
import errno

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, IsInstance

from laburnumyard.core import membership
from laburnumyard.daemon._graceful_shutdown import GracefulShutdown
from tests.daemon.daemon_fixtures import running
from tests.daemon.raw_http import ask, connected, encode

pytestmark = pytest.mark.anyio

LONG_S = 60
TIMINGS = {
    'long': {'leave_notice_s': LONG_S},
    'short': {'leave_notice_s': 0.05},
    'short drain': {'leave_notice_s': 0.05, 'drain_timeout_s': 0.05},
}


@pytest.fixture
def notice():
    return 'long'


@pytest.fixture
async def daemon(target, notice):
    async with running(timing=TIMINGS[notice]) as one:
        one.configure(target)
        yield one


@pytest.fixture
async def leaving(daemon):
    """Start the shutdown of the daemon; yield its task."""
    shutdown = GracefulShutdown(daemon, daemon.callers.server)
    task = asyncio.create_task(shutdown.run())
    await asyncio.sleep(0)
    yield task
    task.cancel()


async def test_daemon_that_has_given_notice_serves_new_callers(daemon, leaving):
    assert_that(daemon.is_ready, Is(False))
    assert_that(daemon.members.events[0], IsInstance(membership.Leave))
    assert_that(daemon.ownership.is_left, Is(True))
    answer = await ask(daemon.callers)
    assert_that((answer.status, answer.ran), Equals((200, 'ran')))


async def test_kept_connection_is_closed_with_its_next_answer(daemon):
    shutdown = GracefulShutdown(daemon, daemon.callers.server)
    async with connected(daemon.callers) as caller:
        caller.send(encode())
        assert_that('connection' in (await caller.read()).headers, Is(False))
        leaving = asyncio.create_task(shutdown.run())
        await asyncio.sleep(0)
        caller.send(encode())
        answer = await caller.read()
        assert_that(answer.status, Equals(200))
        assert_that(answer.headers['connection'], Equals('close'))
        assert_that(await caller.read_end(), Equals(b''))
    leaving.cancel()


async def test_answer_in_flight_closes_its_connection(
    daemon, target_app, wait_until
):
    shutdown = GracefulShutdown(daemon, daemon.callers.server)
    async with connected(daemon.callers) as caller:
        caller.send(encode(x_work_ms=60))
        await wait_until(lambda: target_app.state.log.runs)
        leaving = asyncio.create_task(shutdown.run())
        answer = await caller.read()
        assert_that(answer.status, Equals(200))
        assert_that(answer.headers['connection'], Equals('close'))
    leaving.cancel()


async def test_ticket_of_the_notice_can_be_used(daemon, leaving):
    order = ('POST', '/catalogue/order', b'{}')
    ticket = (await ask(daemon.callers, *order)).ticket
    answer = await ask(daemon.callers, *order, laburnumyard_ticket=ticket)
    assert_that(answer.status, Equals(200))


@pytest.mark.parametrize('notice', ['short'])
async def test_work_in_flight_ends_after_the_notice(
    daemon, target_app, wait_until
):
    """Idle connections are closed; the kernel refuses new ones."""
    shutdown = GracefulShutdown(daemon, daemon.callers.server)
    async with connected(daemon.callers) as idle:
        idle.send(encode())
        await idle.read()
        running_long = asyncio.create_task(ask(daemon.callers, x_work_ms=400))
        await wait_until(lambda: len(target_app.state.log.runs) == 2)
        leaving = asyncio.create_task(shutdown.run())
        assert_that(await idle.read_end(), Equals(b''))
        refused = await connect(daemon.callers)
        assert_that(refused, Equals(errno.ECONNREFUSED))
        assert_that(daemon.caller_app.in_flight, Equals(1))
        assert_that((await running_long).status, Equals(200))
    await leaving
    assert_that(target_app.state.log.runs, HasLength(2))


async def connect(address):
    """Return the errno of an attempt to connect; None on success."""
    try:
        async with connected(address):
            return None
    except OSError as fault:
        return fault.errno


@pytest.mark.parametrize('reason', ['no-configuration', 'superseded'])
async def test_daemon_without_callers_gives_no_notice(daemon, reason):
    if reason == 'superseded':
        daemon.members.superseded.set()
    else:
        daemon.view.configuration = None
    with anyio.fail_after(LONG_S / 2):
        await GracefulShutdown(daemon, daemon.callers.server).run()


@pytest.mark.parametrize('notice', ['short drain'])
async def test_drain_timeout_bounds_the_wait(daemon, target_app, wait_until):
    held = asyncio.create_task(ask(daemon.callers, x_work_ms=10_000))
    await wait_until(lambda: target_app.state.log.runs)
    with anyio.fail_after(LONG_S):
        await GracefulShutdown(daemon, daemon.callers.server).run()
    assert_that(held.done(), Is(False))
    held.cancel()
