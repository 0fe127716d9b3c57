"""Reasons of refusals, and when refused callers should return."""

from collections.abc import Iterable

from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling._return_times import Claim, ReturnTimes
from laburnumyard.core.scheduling._target_index import TargetIndex
from laburnumyard.core.scheduling._wait_estimate import WaitEstimate
from laburnumyard.core.scheduling._waiting_queue import (
    ANY_TARGET,
    LaneId,
    WaitingQueue,
)
from laburnumyard.core.scheduling._work import Refusal, Refuse, Work

# Upper bound on the retry-after delay, as a fraction of the time until expiry.
MAX_RETRY_AFTER_FRACTION = 1 / 3
MIN_RETRY_AFTER_S = 0.02


class Refusals:
    """Builds the refusals of a scheduler.

    Parameters
    ----------
    index
        Targets and their room.
    queue
        What waits.
    estimate
        Time until a request would start.
    returns
        Room reserved for callers that were refused.
    """

    def __init__(
        self,
        index: TargetIndex,
        queue: WaitingQueue,
        estimate: WaitEstimate,
        returns: ReturnTimes,
    ) -> None:
        """Create the object; it keeps no state of its own."""
        self.returns = returns
        self.index = index
        self.queue = queue
        self.estimate = estimate

    def refuse(self, work: Work, reason: Refusal, now: Seconds) -> Refuse:
        """Return the refusal of a request with its retry-after delay."""
        latest = MAX_RETRY_AFTER_FRACTION * max(0, work.expires_at - now)
        earliest = self.estimate.backlog(self.queue.total.seconds)
        if reason is Refusal.RATE_LIMITED:
            earliest = max(earliest, self.estimate.wait(work, now))
        earliest = max(MIN_RETRY_AFTER_S, min(earliest, latest))
        retry_after = earliest
        # The keys of an overloaded owner move soon: its room in half a second
        # cannot be foreseen, and spreading its callers loaded targets less
        # evenly in virtual time.
        is_pooled = self.queue.lane_of(work) == ANY_TARGET
        if reason is Refusal.OVERLOADED and is_pooled and latest > earliest:
            claim = Claim(
                work.rank,
                work.cost,
                now + earliest,
                now + latest,
                work.due_at - work.cost,
            )
            capacity = self.index.capacity
            retry_after = self.returns.reserve(claim, capacity, now) - now
        return Refuse(work, reason, Seconds(retry_after))

    def queued(self, work: Work, now: Seconds) -> Refuse:
        """Return the refusal of a request that has waited."""
        return self.refuse(work, self._reason(work, now), now)

    def overload(self, work: Work, now: Seconds) -> Refuse:
        """Return the refusal of a request that cannot be served in time."""
        return self.refuse(work, self._overload_reason(work, now), now)

    def _reason(self, work: Work, now: Seconds) -> Refusal:
        if not self.index.targets:
            return Refusal.NO_TARGET
        placement = self.queue.placement
        if work.key is not None and placement:
            if placement.owner(work.key, now) is None:
                return Refusal.NO_OWNER
        return self._overload_reason(work, now)

    def _overload_reason(self, work: Work, now: Seconds) -> Refusal:
        candidates: Iterable[LaneId] = self.index.limited
        if work.key is not None and self.queue.placement:
            candidates = (self.queue.lane_of(work),)
        found = (
            self.index.targets.get(target) for target in candidates if target
        )
        is_limited = any(
            slots.has_free_slot(now) and not slots.has_room(now)
            for slots in found
            if slots
        )
        return Refusal.RATE_LIMITED if is_limited else Refusal.OVERLOADED
