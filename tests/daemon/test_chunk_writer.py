from dataclasses import dataclass, field

import anyio
import pytest
from expression import Error, Ok
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.ownership import Chunk
from laburnumyard.daemon._chunk_writer import REUSED_S, ChunkWriter
from laburnumyard.platform import StoreError, StoreErrorKind

CHUNKS = (Chunk('a' * 64, b'one'), Chunk('b' * 64, b'two'))


@dataclass
class SlowStore:
    """A store whose writes wait for their release."""

    outcome: object = None
    keys: list = field(default_factory=list)
    released: anyio.Event = field(default_factory=anyio.Event)

    async def write(self, key, content, expected):
        self.keys.append(key)
        await self.released.wait()
        return self.outcome or Ok(None)


@dataclass
class Clock:
    now: float = 100

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


def failure(kind):
    return Error(StoreError(kind, 'for the test'))


def write_twice(store, clock):
    """Write the chunks in two tasks at once; return what each was told."""

    async def run():
        writer = ChunkWriter(store, 'orders', clock)
        told = []

        async def write():
            told.append(await writer.write_all(CHUNKS))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            tasks.start_soon(write)
            await anyio.wait_all_tasks_blocked()
            store.released.set()
        return told, writer

    return anyio.run(run)


def test_a_write_under_way_is_waited_for(clock):
    store = SlowStore()
    told, _ = write_twice(store, clock)
    assert_that(told, Equals([True, True]))
    assert_that(len(store.keys), Equals(2))


def test_a_chunk_that_exists_counts_as_written(clock):
    store = SlowStore(failure(StoreErrorKind.CONFLICT))
    told, _ = write_twice(store, clock)
    assert_that(told, Equals([True, True]))


def test_a_failed_write_is_told_and_tried_again(clock):
    store = SlowStore(failure(StoreErrorKind.TIMEOUT))
    told, _ = write_twice(store, clock)
    assert_that(told, Equals([False, False]))
    assert_that(len(store.keys), Equals(4))


@pytest.mark.parametrize(('age', 'writes'), [(1, 2), (REUSED_S + 1, 4)])
def test_only_a_recent_write_saves_another(clock, age, writes):
    store = SlowStore()
    _, writer = write_twice(store, clock)
    clock.now += age
    assert_that(anyio.run(writer.write_all, CHUNKS), Equals(True))
    assert_that(len(store.keys), Equals(writes))
