from dataclasses import dataclass, field

import anyio
import pytest
from expression import Error, Ok
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.clients import StoredValue, StoreError, StoreErrorKind
from laburnumyard.core.ownership import Chunk
from laburnumyard.daemon._chunk_writer import ChunkWriter

CHUNKS = (Chunk('a' * 64, b'one'), Chunk('b' * 64, b'two'))
# Revisions of the head to be replaced, and of chunks written after it.
HEAD, LATER = 7, 8


@dataclass
class SlowStore:
    """A store whose writes block until released."""

    outcomes: list = field(default_factory=list)
    expected: list = field(default_factory=list)
    released: anyio.Event = field(default_factory=anyio.Event)

    async def write(self, key, content, expected):
        self.expected.append(expected)
        await self.released.wait()
        if self.outcomes:
            return self.outcomes.pop(0)
        return Ok(StoredValue(key, content, LATER))


def failure(kind, revision=None):
    current = None if revision is None else StoredValue('key', b'', revision)
    return Error(StoreError(kind, 'for the test', current))


def write_twice(store):
    """Write the chunks in two concurrent tasks; return both results."""

    async def run():
        writer = ChunkWriter(store, 'orders')
        results = []

        async def write():
            results.append(await writer.write_all(CHUNKS, HEAD))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            tasks.start_soon(write)
            await anyio.wait_all_tasks_blocked()
            store.released.set()
        return results, writer

    return anyio.run(run)


def test_a_write_under_way_is_waited_for():
    store = SlowStore()
    results, _ = write_twice(store)
    assert_that(results, Equals([True, True]))
    assert_that(store.expected, Equals([None, None]))


def test_a_chunk_that_exists_since_the_head_counts_as_written():
    found = failure(StoreErrorKind.CONFLICT, LATER)
    store = SlowStore([found, found])
    results, _ = write_twice(store)
    assert_that(results, Equals([True, True]))
    assert_that(store.expected, Equals([None, None]))


def test_a_chunk_that_exists_since_before_the_head_is_written_again():
    found = failure(StoreErrorKind.CONFLICT, HEAD - 1)
    store = SlowStore([found, found])
    results, _ = write_twice(store)
    assert_that(results, Equals([True, True]))
    expected = [None, None, HEAD - 1, HEAD - 1]
    assert_that(store.expected, Equals(expected))


def test_a_failed_write_is_told_and_tried_again():
    store = SlowStore([failure(StoreErrorKind.TIMEOUT)] * 4)
    results, _ = write_twice(store)
    assert_that(results, Equals([False, False]))
    assert_that(len(store.expected), Equals(4))


@pytest.mark.parametrize(('after', 'writes'), [(HEAD, 2), (LATER, 4)])
def test_only_a_write_after_the_head_saves_another(after, writes):
    store = SlowStore()
    _, writer = write_twice(store)
    store.outcomes = [Ok(StoredValue('key', b'', LATER + 1)) for _ in CHUNKS]
    written = anyio.run(writer.write_all, CHUNKS, after)
    assert_that(written, Equals(True))
    assert_that(len(store.expected), Equals(writes))
