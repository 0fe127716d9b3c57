from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.wire import LinkErrorKind, Peer
from tests.wire.conftest import TEST_TIMEOUT_S, run_relay, submit, wait_until

pytestmark = pytest.mark.anyio


@pytest.fixture
def lost(pool):
    """Return the peers whose links were reported as lost."""
    reported = []
    pool.on_lost.append(reported.append)
    return reported


async def ask(pool, peer):
    return await pool.request(peer, submit('key'), TEST_TIMEOUT_S)


async def test_link_that_its_peer_breaks_is_told(pool, peer, server, lost):
    await ask(pool, peer)
    for link in tuple(server.links):
        link.close(LinkErrorKind.CLOSED)
    await wait_until(lambda: lost)
    assert_that(lost, Equals(['server']))


async def test_link_that_goes_silent_is_told(pool, server, lost):
    async with run_relay(server.address) as (relay, address):
        peer = Peer('server', address, 1)
        await ask(pool, peer)
        relay.drop_data()
        await ask(pool, peer)
    assert_that(lost, Equals(['server']))


async def test_link_that_is_closed_here_is_not_told(pool, peer, lost):
    await ask(pool, peer)
    pool.forget('server')
    pool.settings = replace(pool.settings, idle_close_after_s=0.02)
    await ask(pool, peer)
    await wait_until(lambda: pool.slots['server'].link is None)
    assert_that(lost, Equals([]))


async def test_peer_that_was_never_reached_is_not_told(pool, server, lost):
    answer = await ask(pool, Peer('server', '127.0.0.1:9', 1))
    assert_that(answer.is_error(), Is(True))
    assert_that(lost, Equals([]))
