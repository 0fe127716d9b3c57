from random import Random

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.clients import StoreClient
from laburnumyard.core import ownership
from laburnumyard.core.ids import Incarnation
from laburnumyard.core.ownership._unused_chunks import UNUSED_CHUNK_RETENTION_S
from laburnumyard.daemon import _chunk_garbage_collector
from laburnumyard.daemon._assignment_store import AssignmentStore
from laburnumyard.daemon._chunk_writer import ChunkWriter, chunk_key
from laburnumyard.schema._generated.settings import StoreSettings
from standins._serve import serving
from standins.platform import PlatformApp
from tests.daemon.daemon_fixtures import FixedView, make_settings
from tests.daemon.interleaving import SERVICE, InterleavedStore, interleave

SEEDS = range(1, 31)
TURNS = 6000
DIGESTS = tuple(f'{number:064x}' for number in range(6))
CHUNKS_PER_HEAD = 2
# Share of head changes whose chunks are written in advance.
PREPARED_SHARE = 0.5
THIS_DAEMON = 'vm-1'
INCARNATION = Incarnation(7)


class MissingChunkError(Exception):
    """The head refers to a chunk that is not in the store."""


def make_head(version, digests, manager=THIS_DAEMON, incarnation=INCARNATION):
    scope = ownership.Scope(1, manager, incarnation, 'change')
    other = ownership.Scope(2, 'vm-2', Incarnation(1), 'other')
    return ownership.Head(
        version=version,
        change=f'change-{version}',
        chunks=tuple(digests),
        scopes={'lima-a': scope, 'lima-b': other},
    )


class SerialWriter(ChunkWriter):
    """Writes chunks sequentially, since the race has no event loop."""

    async def write_all(self, chunks, after):
        for chunk in chunks:
            if self.written.get(chunk.digest, 0) <= after:
                await self.write_chunk(chunk, after)
        written = [self.written.get(chunk.digest, 0) for chunk in chunks]
        return all(revision > after for revision in written)


class NonRewritingWriter(SerialWriter):
    """A broken writer that never rewrites an existing chunk."""

    async def write_all(self, chunks, after):
        for chunk in chunks:
            key = chunk_key(self.service, chunk.digest)
            await self.store.write(key, chunk.content, None)
        return True


class RevisionIgnoringChunks(ownership.UnusedChunks):
    """A broken scan that also deletes chunks written after the head."""

    def select_deletable(self, listed, snapshot, now):
        endless = ownership.Snapshot(snapshot.head, None, float('inf'))
        return super().select_deletable(listed, endless, now)


async def write_heads(store, writer_class, random):
    """Replace the head repeatedly, as lease managers do."""
    assignments = AssignmentStore(store, SERVICE)
    assignments.writer = writer_class(store, SERVICE)
    while True:
        await store.read('turn')
        head, revision = store.head
        used = head.chunks if head else ()
        wanted = random.sample(DIGESTS, CHUNKS_PER_HEAD)
        chunks = tuple(
            ownership.Chunk(digest, b'content')
            for digest in wanted
            if digest not in used
        )
        if random.random() < PREPARED_SHARE:
            await assignments.writer.write_all(chunks, revision or 0)
        following = make_head(head.version + 1 if head else 1, wanted)
        await assignments.swap(
            ownership.SwapHead(following.change, revision, following, chunks)
        )


async def collect_often(store, unused_class):
    """Scan and delete repeatedly, with heads that may be outdated."""
    reader = AssignmentStore(store, SERVICE)
    while True:
        unused = unused_class()
        await store.read('turn')
        head, revision = store.head
        if head is None:
            continue
        snapshot = ownership.Snapshot(head, None, revision)
        for moment in (0, UNUSED_CHUNK_RETENTION_S):
            listed = await reader.list_chunks()
            deletable = unused.select_deletable(listed.ok, snapshot, moment)
        for chunk in deletable:
            await reader.delete_chunk(chunk)


def race(seed, writer_class=SerialWriter, unused=ownership.UnusedChunks):
    """Race three writers against two collectors; return the final store."""
    store = InterleavedStore()

    def check():
        if store.missing():
            raise MissingChunkError(store.missing())

    def write(random):
        return write_heads(store, writer_class, Random(random.random()))

    def collect(random):
        return collect_often(store, unused)

    interleave(seed, (write, write, write, collect, collect), TURNS, check)
    return store


@pytest.mark.parametrize('seed', SEEDS)
def test_no_chunk_in_use_is_ever_deleted(seed):
    store = race(seed)
    head = store.head[0]
    assert_that(head.version > TURNS / 200, Is(True))
    assert_that(store.revision > 3 * head.version, Is(True))


@pytest.mark.parametrize(
    'broken',
    [{'writer_class': NonRewritingWriter}, {'unused': RevisionIgnoringChunks}],
    ids=('once-written', 'head-blind'),
)
def test_the_race_catches_a_broken_variant(broken):
    caught = 0
    for seed in SEEDS:
        try:
            race(seed, **broken)
        except MissingChunkError:
            caught += 1
    assert_that(caught > len(SEEDS) / 2, Is(True))


@pytest.fixture
def clock(monkeypatch):
    """Return a settable clock; remove the pause between deletions."""
    times = [0]
    monkeypatch.setattr(_chunk_garbage_collector, 'boot_time', lambda: times[0])
    monkeypatch.setattr(_chunk_garbage_collector, 'DELETE_INTERVAL_S', 0)
    return times


@pytest.fixture
def platform_app():
    return PlatformApp()


@pytest.fixture
async def assignments(platform_app):
    async with serving(platform_app) as address:
        settings = StoreSettings(address=address, call_burst=1000, timeout_s=2)
        client = StoreClient(settings, anyio.current_time, Random(1).random)
        yield AssignmentStore(client, SERVICE)
        await client.close()


@pytest.fixture
def collector(assignments):
    view = FixedView(make_settings(), INCARNATION, None)
    return _chunk_garbage_collector.ChunkGarbageCollector(
        view, {SERVICE: assignments}
    )


async def swap(collector, version, digests):
    """Replace the head as a lease manager does, and update the view."""
    assignments = collector.stores[SERVICE]
    known = collector.view.snapshots.get(SERVICE)
    used = known.head.chunks if known else ()
    chunks = tuple(
        ownership.Chunk(digest, b'content')
        for digest in digests
        if digest not in used
    )
    head = make_head(version, digests)
    revision = known.revision if known else None
    effect = ownership.SwapHead(head.change, revision, head, chunks)
    done = await assignments.swap(effect)
    snapshot = ownership.Snapshot(head, None, done.revision)
    collector.view.snapshots[SERVICE] = snapshot


async def listed(collector):
    found = await collector.stores[SERVICE].list_chunks()
    return {chunk.digest for chunk in found.ok}


@pytest.mark.anyio
async def test_only_unused_chunks_are_deleted_and_only_after_a_while(
    collector, clock
):
    await swap(collector, 1, DIGESTS[:3])
    await swap(collector, 2, DIGESTS[2:4])
    await collector.collect(SERVICE)
    clock[0] = UNUSED_CHUNK_RETENTION_S - 1
    await collector.collect(SERVICE)
    assert_that(await listed(collector), Equals(set(DIGESTS[:4])))
    clock[0] = UNUSED_CHUNK_RETENTION_S
    await collector.collect(SERVICE)
    assert_that(await listed(collector), Equals(set(DIGESTS[2:4])))


@pytest.mark.anyio
async def test_a_chunk_that_comes_back_into_use_is_kept(collector, clock):
    await swap(collector, 1, DIGESTS[:2])
    await swap(collector, 2, DIGESTS[1:2])
    await collector.collect(SERVICE)
    stale = collector.view.snapshots[SERVICE]
    await swap(collector, 3, DIGESTS[:2])
    collector.view.snapshots[SERVICE] = stale
    clock[0] = UNUSED_CHUNK_RETENTION_S
    await collector.collect(SERVICE)
    assert_that(await listed(collector), Equals(set(DIGESTS[:2])))


@pytest.mark.anyio
async def test_a_store_that_is_down_loses_nothing(
    collector, clock, platform_app
):
    await swap(collector, 1, DIGESTS[:2])
    await swap(collector, 2, DIGESTS[1:2])
    await collector.collect(SERVICE)
    clock[0] = UNUSED_CHUNK_RETENTION_S
    platform_app.faults.down = True
    await collector.collect(SERVICE)
    platform_app.faults.down = False
    assert_that(await listed(collector), Equals(set(DIGESTS[:2])))
    await collector.collect(SERVICE)
    assert_that(await listed(collector), Equals(set(DIGESTS[1:2])))


@pytest.mark.anyio
async def test_a_deletion_whose_answer_is_lost_is_made_once(
    collector, clock, platform_app
):
    await swap(collector, 1, DIGESTS[:2])
    await swap(collector, 2, DIGESTS[1:2])
    await collector.collect(SERVICE)
    clock[0] = UNUSED_CHUNK_RETENTION_S
    platform_app.faults.lose_write_answers = 1
    await collector.collect(SERVICE)
    await collector.collect(SERVICE)
    assert_that(await listed(collector), Equals(set(DIGESTS[1:2])))


@pytest.mark.parametrize(
    ('manager', 'incarnation', 'services'),
    [
        (THIS_DAEMON, INCARNATION, [SERVICE]),
        (THIS_DAEMON, Incarnation(6), []),
        ('vm-2', INCARNATION, []),
    ],
)
@pytest.mark.anyio
async def test_the_first_scopes_manager_looks(
    collector, manager, incarnation, services
):
    head = make_head(1, DIGESTS, manager, incarnation)
    collector.view.snapshots[SERVICE] = ownership.Snapshot(head, None, 1)
    assert_that(list(collector.services_to_collect()), Equals(services))
