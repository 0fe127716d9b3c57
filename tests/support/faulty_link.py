"""The way from a publisher to the store, which fails from some call on."""

from expression import Error

from laburnumyard.clients.publication._store import (
    StoreError,
    StoreErrorKind,
)
from tests.support.matrix import Fault

READ_LOST = Error(StoreError(StoreErrorKind.TIMEOUT))
SWAP_LOST = Error(StoreError(StoreErrorKind.OUTCOME_UNKNOWN))


class FaultyLink:
    """A store as a publisher sees it over a faulty way.

    A cut loses the calls of both ways; a one-way cut lets them take effect
    and loses the answers. A pause holds the publisher up before the call, or
    after its effect, and `meanwhile` runs.
    """

    def __init__(self, store, fault, first, length=1, meanwhile=None):
        self.store = store
        self.fault = fault
        self.struck = range(first, first + length)
        self.meanwhile = meanwhile
        self.calls = 0

    @property
    def has_struck(self):
        return self.calls >= self.struck.start

    async def read(self, key):
        return await self.call(READ_LOST, self.store.read, key)

    async def swap(self, key, content, expected, is_applied):
        arguments = (key, content, expected, is_applied)
        return await self.call(SWAP_LOST, self.store.swap, *arguments)

    async def call(self, lost, method, *arguments):
        self.calls += 1
        if self.calls not in self.struck:
            return await method(*arguments)
        if self.fault is Fault.CUT:
            return lost
        answer = await method(*arguments)
        if self.fault is Fault.ONE_WAY_CUT:
            return lost
        await self.meanwhile()
        return answer


class EarlyPause(FaultyLink):
    """Holds the publisher up before the call leaves, not after its effect."""

    async def call(self, lost, method, *arguments):
        self.calls += 1
        if self.calls in self.struck:
            await self.meanwhile()
        return await method(*arguments)
