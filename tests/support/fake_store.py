"""A store in memory, with the faults of the platform's one."""

from collections import deque
from enum import Enum

import anyio
from expression import Error, Ok

from laburnumyard.clients.publication._store import (
    StoredValue,
    StoreError,
    StoreErrorKind,
)


class StoreFault(Enum):
    DOWN = 'down'
    # Reported as a timeout, applied only when the test says so.
    DELAYED = 'delayed'
    ANSWER_LOST = 'answer-lost'


class KilledError(Exception):
    """The process that made the call is dead."""


class FakeStore:
    """Faults are queued by key prefix and used up, one for each swap."""

    def __init__(self):
        self.values = {}
        self.faults = {}
        self.delayed = []
        self.is_down = False
        self.before_swap = {}
        self.log = []
        self.revision = 0
        self.calls_left = None
        self.applies_last_call = False

    def kill_after(self, calls, applies_last_call):
        """Kill the caller at a call, before or after it applied."""
        self.calls_left = calls
        self.applies_last_call = applies_last_call

    def fail(self, prefix, *faults):
        self.faults[prefix] = deque(faults)

    async def read(self, key):
        await anyio.lowlevel.checkpoint()
        self._count_call()
        if self.is_down:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE))
        return Ok(self.values.get(key))

    async def swap(self, key, content, expected, is_applied):
        await anyio.lowlevel.checkpoint()
        if self.is_down:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE))
        hook = self.before_swap.pop(key, None)
        if hook:
            await hook()
        if self.calls_left == 1 and self.applies_last_call:
            self.apply(key, content, expected)
        self._count_call()
        fault = self._next_fault(key)
        if fault is StoreFault.DOWN:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE))
        if fault is StoreFault.DELAYED:
            self.delayed.append((key, content, expected))
            return Error(StoreError(StoreErrorKind.TIMEOUT))
        applied = self.apply(key, content, expected)
        if fault is StoreFault.ANSWER_LOST:
            return Error(StoreError(StoreErrorKind.OUTCOME_UNKNOWN))
        return applied

    def apply(self, key, content, expected):
        found = self.values.get(key)
        if expected != (found and found.revision):
            return Error(StoreError(StoreErrorKind.CONFLICT))
        self.revision += 1
        self.values[key] = StoredValue(key, content, self.revision)
        self.log.append((key, content))
        return Ok(self.revision)

    def _count_call(self):
        if self.calls_left is None:
            return
        self.calls_left -= 1
        if not self.calls_left:
            self.calls_left = None
            raise KilledError

    def _next_fault(self, key):
        for prefix, faults in self.faults.items():
            if key.startswith(prefix) and faults:
                return faults.popleft()
        return None
