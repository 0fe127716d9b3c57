"""Facts about the targets of a service that are kept up to date.

The scheduler looks up what it needs for one request, instead of asking every
target: which ones have room, and what they can serve together.
"""

from heapq import heappop, heappush

from laburnumyard.core.ids import Seconds, TargetId
from laburnumyard.core.scheduling._run_times import RunTimes
from laburnumyard.core.scheduling._target_slots import TargetSlots
from laburnumyard.core.scheduling._waiting_queue import ANY_TARGET, LaneId
from laburnumyard.core.target_directory import TargetState

# A target without a token is looked at again after this time at the earliest,
# in seconds: rounding may leave a bucket just short of a token.
MIN_WAKE_S = 0.001


class TargetIndex:
    """Targets with room, and the capacity of all targets.

    A target is refreshed when something happens to it, when its pause ends or
    its bucket has a token again, and on each tick.

    Parameters
    ----------
    times
        Pace of each target.

    Attributes
    ----------
    targets
        All targets.
    free
        Targets that had room when they were last refreshed. A target with room
        is always among them; one of them may have lost its room since.
    limited
        Targets with a free slot whose rate limit forbids a request.
    capacity
        Sum of the capacities of all targets that are not lost, in slot seconds
        per second.
    is_stale
        Whether all targets have to be refreshed.
    """

    def __init__(self, times: RunTimes) -> None:
        """Create the index without targets."""
        self.times = times
        self.targets: dict[TargetId, TargetSlots] = {}
        self.free: dict[TargetId, TargetSlots] = {}
        self.limited: set[TargetId] = set()
        self.capacity = float(0)
        self.is_stale = True
        self.capacities: dict[TargetId, float] = {}
        self.wakes: list[tuple[float, TargetId]] = []
        self.wake_at: dict[TargetId, float] = {}

    def rebuild(self, now: Seconds) -> None:
        """Refresh all targets and forget former ones."""
        self.free.clear()
        self.limited.clear()
        self.capacities.clear()
        self.wakes.clear()
        self.wake_at.clear()
        self.capacity = float(0)
        self.is_stale = False
        for slots in self.targets.values():
            self.refresh(slots, now)

    def refresh(self, slots: TargetSlots, now: Seconds) -> None:
        """Refresh one target after something happened to it."""
        self.refresh_room(slots, now)
        target = slots.record.target
        is_unused = slots.record.state is TargetState.EVACUATED
        if slots.losses or is_unused:
            capacity = float(0)
        else:
            capacity = slots.capacity(self.times, now)
        self.capacity += capacity - self.capacities.get(target, 0)
        self.capacities[target] = capacity

    def refresh_room(self, slots: TargetSlots, now: Seconds) -> None:
        """Refresh whether a target has room."""
        target = slots.record.target
        if slots.has_room(now):
            self.free[target] = slots
            self.limited.discard(target)
            return
        self.free.pop(target, None)
        if slots.has_free_slot(now):
            self.limited.add(target)
        else:
            self.limited.discard(target)
        self._wake_later(slots, now)

    def capacity_of(self, lane: LaneId) -> float:
        """Return the capacity for what waits in a lane."""
        if lane == ANY_TARGET:
            return self.capacity
        return self.capacities.get(lane, 0) if lane else 0

    def has_room(self, now: Seconds) -> bool:
        """Whether a target has room for a request."""
        return any(slots.has_room(now) for slots in self.free.values())

    def woken(self, now: Seconds) -> list[TargetId]:
        """Return the targets whose pause or lack of tokens may have ended."""
        due = []
        while self.wakes and self.wakes[0][0] <= now:
            at, target = heappop(self.wakes)
            if self.wake_at.get(target) == at:
                self.wake_at.pop(target)
                due.append(target)
        return due

    def _wake_later(self, slots: TargetSlots, now: Seconds) -> None:
        at = slots.paused_until
        if at <= now:
            rate = slots.rate(now)
            if rate is None:
                return
            at = now + max(MIN_WAKE_S, rate.wait(1, now))
        target = slots.record.target
        if self.wake_at.get(target) != at:
            self.wake_at[target] = at
            heappush(self.wakes, (at, target))
