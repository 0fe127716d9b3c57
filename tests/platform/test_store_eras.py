"""A store that comes back from an older copy."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from laburnumyard.core.ids import Seconds
from laburnumyard.gateway._platform_interface import (
    ConditionalWrite,
    StoreFault,
)
from laburnumyard.gateway._store_revision import era_of
from laburnumyard.platform._store_client import PlatformStore
from standins._gateway_store import GatewayStore
from standins._serve import serving

pytestmark = pytest.mark.anyio
KEY = 'my/key'


@pytest.fixture
def server():
    return GatewayStore()


@pytest.fixture
async def client(server):
    async with serving(server) as address:
        yield PlatformStore(address, Seconds(5))


def restore(server, lost=3):
    """Lose some writes, and give their revisions out again."""
    server.put(KEY, b'kept')
    copy = server.store.copy()
    for _ in range(lost):
        server.put(KEY, b'lost')
    return copy


def swap(revision, content=b'mine'):
    return ConditionalWrite({KEY: revision}, {KEY: content})


async def test_a_revision_of_a_later_era_is_newer(server, client):
    copy = restore(server)
    before = (await client.read(KEY)).ok.revision
    server.store.restore(copy)
    after = (await client.read(KEY)).ok.revision
    assert_that(after, GreaterThan(before))
    assert_that((await client.scan('my/')).ok.revision, GreaterThan(before))


async def test_a_return_from_a_copy_is_announced_once(server, client):
    eras = []
    client.on_restored.append(eras.append)
    copy = restore(server)
    await client.read(KEY)
    server.store.restore(copy)
    await client.read(KEY)
    await client.read(KEY)
    assert_that(eras, Equals([2]))


# A watch goes on in the new history, without what was written before its
# revision was given out again.
async def test_a_watch_of_an_earlier_era_has_no_history(server, client):
    copy = restore(server)
    known = (await client.scan('my/')).ok.revision
    server.store.restore(copy)
    for _ in range(9):
        server.put(KEY, b'again')
    for _ in range(2):
        watched = await client.watch('my/', known, Seconds(1))
        assert_that(watched.error.fault, Is(StoreFault.HISTORY_GONE))


async def test_a_condition_of_an_earlier_era_is_a_conflict(server, client):
    copy = restore(server)
    known = (await client.read(KEY)).ok.revision
    server.store.restore(copy)
    for _ in range(3):
        server.put(KEY, b'another')
    await client.scan('my/')
    written = await client.compare_and_swap(swap(known))
    assert_that(written.error.fault, Is(StoreFault.CONFLICT))
    assert_that(server.store.entries[KEY].content, Equals(b'another'))


# A write that is under way during the return holds by chance, and its sender
# takes its revision for one of the earlier era.
async def test_a_write_across_the_return_is_uncertain(server, client):
    copy = restore(server)
    known = (await client.read(KEY)).ok.revision
    server.faults.delay_ms = 100
    async with anyio.create_task_group() as tasks:
        results = []

        async def write():
            results.append(await client.compare_and_swap(swap(known)))

        tasks.start_soon(write)
        await anyio.sleep(0.05)
        server.store.restore(copy)
        for _ in range(3):
            server.put(KEY, b'another')
    error = results[0].error
    assert_that(
        (error.fault, error.may_apply), Equals((StoreFault.CONFLICT, True))
    )


async def test_a_second_return_soon_after_the_first(server, client):
    copy = restore(server)
    eras = []
    for _ in range(3):
        eras.append(era_of((await client.read(KEY)).ok.revision))
        server.store.restore(copy)
    assert_that(eras, Equals([1, 2, 3]))


async def test_an_answer_of_an_earlier_era_is_no_answer(server, client):
    server.put(KEY, b'kept')
    server.store.era = 2
    await client.read(KEY)
    server.store.era = 1
    read = await client.read(KEY)
    assert_that(read.error.fault, Is(StoreFault.HISTORY_GONE))


async def test_a_peer_may_know_of_a_later_era_first(server, client):
    eras = []
    client.on_restored.append(eras.append)
    server.put(KEY, b'kept')
    known = (await client.scan('my/')).ok.revision
    later = known + (1 << 40)
    watched = await client.watch('my/', later, Seconds(0.1))
    assert_that(watched.error.fault, Is(StoreFault.HISTORY_GONE))
    assert_that(eras, Equals([2]))
