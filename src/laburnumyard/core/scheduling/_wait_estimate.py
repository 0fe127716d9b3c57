"""Time until a request would start, and whether that is in time."""

from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling._demand_rates import DemandRates
from laburnumyard.core.scheduling._running import RunningRequests
from laburnumyard.core.scheduling._settings import SchedulerSettings
from laburnumyard.core.scheduling._target_index import TargetIndex
from laburnumyard.core.scheduling._target_slots import TargetSlots
from laburnumyard.core.scheduling._waiting_queue import (
    ANY_TARGET,
    Lane,
    LaneId,
    WaitingQueue,
)
from laburnumyard.core.scheduling._work import Work

# Part of its expected run time that a run takes at least from now on. Run times
# vary, and a few are many times as long.
MIN_REST_FRACTION = 0.25
# A less urgent request that waits gets at least this part of the capacity in
# the estimate: the demand of more urgent ones is a mean of the recent past.
MIN_SHARE = 0.2
# Part of a run time that is kept free before the objective when a request has
# to wait in a pool. While room is short, all requests wait as long as is
# admitted, and without a margin each that runs longer than the mean would be
# late. The wait for one owner is estimated with less certainty, and its keys
# may move: there, half a run time lost 0.5 % of the value at full load.
POOL_MARGIN = 1.0
# Part of a run time by which a waiting request may be expected to end too late
# before it is refused: run times vary, and the estimate varies with them.
LATENESS_TOLERANCE = 1.0


class WaitEstimate:
    """Estimates waits from what is ahead of a request.

    Parameters
    ----------
    settings
        How late a request may be.
    index
        Targets and their capacity.
    queue
        What waits.
    at_targets
        What runs.
    demands
        What first comers need.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        index: TargetIndex,
        queue: WaitingQueue,
        at_targets: RunningRequests,
        demands: DemandRates,
    ) -> None:
        """Create the estimate; it keeps no state of its own."""
        self.settings = settings
        self.times = index.times
        self.demands = demands
        self.index = index
        self.queue = queue
        self.at_targets = at_targets

    def wait(self, work: Work, now: Seconds) -> Seconds:
        """Return the time until a request that arrives now would start."""
        lane_id = self.queue.lane_of(work)
        ahead = self.queue.lane(lane_id).ahead_of(work)
        if lane_id == ANY_TARGET:
            if self.index.has_room(now):
                # Those ahead wait for a faster target by choice.
                return Seconds(0)
            seconds = ahead.seconds + work.cost
            return Seconds(self.backlog(seconds) / self.share(work.rank, now))
        slots = self.index.targets.get(lane_id) if lane_id else None
        if slots is None:
            return Seconds(0)
        if not ahead.requests and slots.has_room(now):
            return Seconds(0)
        pace = self.times.pace(lane_id)
        queued = ahead.seconds * pace / slots.record.slots
        wait = Seconds(self.free_in(slots, now) + queued)
        rate = slots.rate(now)
        if rate is None:
            return wait
        return max(wait, rate.wait(ahead.requests + 1, now))

    def share(self, rank: int, now: Seconds) -> float:
        """Return the part of a pool's capacity that more urgent ranks leave.

        More urgent requests that arrive while one waits are served before it.
        For a single owner of keys, their recent demand says too little.
        """
        urgent = self.demands.more_urgent(ANY_TARGET, rank, now)
        return max(MIN_SHARE, 1 - urgent / (self.index.capacity or 1))

    def free_in(self, slots: TargetSlots, now: Seconds) -> Seconds:
        """Return the time until a slot of a target is free.

        A run that takes longer than expected is expected to take a part of its
        run time more.
        """
        pause = Seconds(max(0, slots.paused_until - now))
        if slots.running < slots.record.slots:
            return pause
        target = slots.record.target
        pace = self.times.pace(target)
        rests = [
            max(
                MIN_REST_FRACTION * work.cost * pace,
                work.sent_at + work.cost * pace - now,
            )
            for work in self.at_targets.at_target(target).values()
        ]
        return Seconds(max(pause, min(rests, default=0)))

    def overdue(self, now: Seconds) -> list[Work]:
        """Return the waiting requests that can no longer start in time."""
        return [
            work
            for lane_id, lane in self.queue.lanes.items()
            for work in self._overdue_of(lane_id, lane, now)
        ]

    def overdue_behind(self, work: Work, now: Seconds) -> list[Work]:
        """Return those that a new request in their lane has made too late."""
        lane = self.queue.lane(work.lane)
        if work.lane == ANY_TARGET or lane.works[-1] is work:
            return []
        return self._overdue_of(work.lane, lane, now)

    def _overdue_of(
        self, lane_id: LaneId, lane: Lane, now: Seconds
    ) -> list[Work]:
        first, per_second = self._service_of(lane_id, now)
        found = []
        ahead = float(0)
        for work in lane.works:
            # What is first may start in any moment, whatever was estimated.
            wait = first + ahead * per_second if ahead else 0
            wait -= LATENESS_TOLERANCE * work.cost
            if self.is_too_late(work, Seconds(max(0, wait)), now):
                found.append(work)
            else:
                ahead += work.cost
        return found

    def _service_of(
        self, lane_id: LaneId, now: Seconds
    ) -> tuple[Seconds, float]:
        """Return when a lane is served first, and its time per run time."""
        if lane_id == ANY_TARGET:
            return Seconds(0), self.backlog(1)
        slots = self.index.targets.get(lane_id) if lane_id else None
        if slots is None:
            return Seconds(0), 0
        pace = self.times.pace(lane_id)
        return self.free_in(slots, now), pace / slots.record.slots

    def backlog(self, seconds: float) -> Seconds:
        """Return the time that all targets together need for some run time."""
        return Seconds(seconds / (self.index.capacity or 1))

    def is_too_late(self, work: Work, wait: Seconds, now: Seconds) -> bool:
        """Whether a request that starts after a wait ends too late."""
        return now + wait + work.cost > work.last_end_at

    def last_end_of(self, work: Work) -> Seconds:
        """Return when a request has to end that has to wait."""
        lateness_allowance = self.settings.late_share * (
            work.expires_at - work.due_at
        )
        last_end = work.due_at + max(0, lateness_allowance)
        return Seconds(min(last_end, work.expires_at))

    def is_admissible(self, work: Work, wait: Seconds, now: Seconds) -> bool:
        """Whether a new request can be served before it is useless.

        With a free slot, a late answer is accepted too. If no request of the
        route is running, a request is admitted despite its expected run time,
        which may be outdated: otherwise no run would ever correct it.
        """
        if wait:
            if self.queue.lane_of(work) == ANY_TARGET:
                # Without others ahead, only its own run is estimated.
                queued = max(0, wait - self.backlog(work.cost))
                wait = Seconds(wait + min(queued, POOL_MARGIN * work.cost))
            return not self.is_too_late(work, wait, now)
        if now + work.cost <= work.expires_at:
            return True
        return work.route not in self.at_targets.routes
