"""Slots, queue and work of the target stand-in."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import anyio

from standins._asgi import Call

MS_PER_S = 1000
# How many times longer work takes at the very start of a cold target.
COLD_FACTOR = 5


class Outcome(Enum):
    """How the work of a request ended."""

    DONE = 'done'
    SHED = 'shed'
    NOT_OWNER = 'not-owner'
    EXPIRED = 'expired'
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class Slots:
    """A bounded number of workers with a bounded queue.

    Parameters
    ----------
    slots
        How many requests run at once.
    queue
        How many more may wait; the rest are shed.
    cold_start_s
        How long after the start work takes longer, in seconds.
    clock_ms
        Reads the target's clock.
    """

    slots: int
    queue: int
    cold_start_s: float
    clock_ms: Callable[[], float]
    busy: int = 0
    started_ms: float = field(init=False)
    free: anyio.Semaphore = field(init=False)

    def __post_init__(self) -> None:
        """Start with all slots free."""
        self.started_ms = self.clock_ms()
        self.free = anyio.Semaphore(self.slots)

    @property
    def is_full(self) -> bool:
        """Whether the next request is shed."""
        return self.busy >= self.slots + self.queue

    def stretch(self, work_ms: float) -> float:
        """Return how long work takes now, longer while the target is cold."""
        if not self.cold_start_s:
            return work_ms
        warm_ms = self.clock_ms() - self.started_ms
        cold = max(0, 1 - warm_ms / (self.cold_start_s * MS_PER_S))
        return work_ms * (1 + (COLD_FACTOR - 1) * cold)

    async def run(
        self,
        work_ms: float,
        call: Call,
        start: Callable[[], Outcome],
    ) -> Outcome:
        """Wait for a slot, then work until done or the caller closes.

        Parameters
        ----------
        work_ms
            How long the work takes, in milliseconds.
        call
            Tells when the caller closes the connection.
        start
            Called when a slot is free; anything but ``DONE`` refuses.
        """
        outcome = Outcome.CANCELLED
        self.busy += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_close, call, tasks.cancel_scope)
                outcome = await self._work(work_ms, start)
                tasks.cancel_scope.cancel()
        finally:
            self.busy -= 1
        return outcome

    async def _work(
        self,
        work_ms: float,
        start: Callable[[], Outcome],
    ) -> Outcome:
        async with self.free:
            outcome = start()
            if outcome is Outcome.DONE:
                await anyio.sleep(self.stretch(work_ms) / MS_PER_S)
            return outcome


async def _cancel_on_close(call: Call, scope: anyio.CancelScope) -> None:
    await call.wait_closed()
    scope.cancel()
