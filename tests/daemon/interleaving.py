"""An in-memory store and a scheduler that interleaves its callers."""

from random import Random
from types import coroutine

from expression import Error, Ok

from laburnumyard.clients import (
    KeyRevision,
    StoredValue,
    StoreError,
    StoreErrorKind,
)
from laburnumyard.core.ownership import decode_head
from laburnumyard.daemon._assignment_store import head_key
from laburnumyard.daemon._chunk_writer import chunk_key

SERVICE = 'catalogue'
HEAD_KEY = head_key(SERVICE)
KILL_SHARE = 0.01


@coroutine
def turn():
    """Yield to other coroutines, as while a message is in transit."""
    yield


class InterleavedStore:
    """Applies each call between two scheduling points."""

    def __init__(self):
        self.stored = {}
        self.revision = 0

    async def read(self, key):
        await turn()
        found = self.stored.get(key)
        await turn()
        return Ok(found)

    async def keys(self, prefix):
        await turn()
        listed = tuple(
            KeyRevision(key, found.revision)
            for key, found in self.stored.items()
            if key.startswith(prefix)
        )
        await turn()
        return Ok(listed)

    async def write(self, key, content, expected):
        await turn()
        applied = self.is_at(key, expected)
        if applied:
            self.revision += 1
            self.stored[key] = StoredValue(key, content, self.revision)
        written = self.stored.get(key)
        await turn()
        return Ok(written) if applied else await self.conflict(key)

    async def delete(self, key, expected):
        await turn()
        applied = self.is_at(key, expected)
        if applied:
            self.revision += 1
            self.stored.pop(key)
        await turn()
        return Ok(None) if applied else await self.conflict(key)

    def is_at(self, key, expected):
        found = self.stored.get(key)
        return expected == (found and found.revision)

    async def conflict(self, key):
        found = await self.read(key)
        kind = StoreErrorKind.CONFLICT
        return Error(StoreError(kind, current=found.ok))

    @property
    def head(self):
        """The head and its revision; None for both before the first."""
        found = self.stored.get(HEAD_KEY)
        if found is None:
            return None, None
        return decode_head(found.content).ok, found.revision

    def missing(self):
        """Return the chunks that the head refers to but the store lacks."""
        head = self.head[0]
        digests = head.chunks if head else ()
        return [
            digest
            for digest in digests
            if chunk_key(SERVICE, digest) not in self.stored
        ]


def interleave(seed, makers, turns, check):
    """Run coroutines in a random order; some are killed and restarted."""
    random = Random(seed)
    running = [make(random) for make in makers]
    for _ in range(turns):
        place = random.randrange(len(running))
        if random.random() < KILL_SHARE:
            running[place].close()
            running[place] = makers[place](random)
        running[place].send(None)
        check()
    for coroutine_object in running:
        coroutine_object.close()
