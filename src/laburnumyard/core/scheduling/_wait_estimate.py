"""Time until a request would start, and whether that is in time."""

from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling._run_times import RunTimes
from laburnumyard.core.scheduling._running import RunningRequests
from laburnumyard.core.scheduling._settings import SchedulerSettings
from laburnumyard.core.scheduling._target_index import TargetIndex
from laburnumyard.core.scheduling._waiting_queue import ANY_TARGET, WaitingQueue
from laburnumyard.core.scheduling._work import Work


class WaitEstimate:
    """Estimates waits from what is ahead of a request.

    Parameters
    ----------
    settings
        How late a request may be.
    times
        Pace of each target.
    index
        Targets and their capacity.
    queue
        What waits.
    at_targets
        What runs.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        times: RunTimes,
        index: TargetIndex,
        queue: WaitingQueue,
        at_targets: RunningRequests,
    ) -> None:
        """Create the estimate; it keeps no state of its own."""
        self.settings = settings
        self.times = times
        self.index = index
        self.queue = queue
        self.at_targets = at_targets

    def wait(self, work: Work, now: Seconds) -> Seconds:
        """Return the time until a request that arrives now would start."""
        lane_id = self.queue.lane_of(work)
        ahead = self.queue.lane(lane_id).ahead_of(work)
        if lane_id == ANY_TARGET:
            if not ahead.requests and self.index.has_room(now):
                return Seconds(0)
            return self.backlog(ahead.seconds + work.expected_s)
        slots = self.index.targets.get(lane_id) if lane_id else None
        if slots is None:
            return Seconds(0)
        if not ahead.requests and slots.has_room(now):
            return Seconds(0)
        pace = self.times.pace(lane_id)
        wait = Seconds(ahead.seconds * pace / slots.record.slots)
        rate = slots.rate(now)
        if rate is None:
            return wait
        return max(wait, rate.wait(ahead.requests + 1, now))

    def backlog(self, seconds: float) -> Seconds:
        """Return the time that all targets together need for some run time."""
        return Seconds(seconds / (self.index.capacity or 1))

    def is_too_late(self, work: Work, wait: Seconds, now: Seconds) -> bool:
        """Whether a request that starts after a wait ends too late."""
        lateness_allowance = self.settings.late_share * (
            work.expires_at - work.due_at
        )
        last_end = work.due_at + max(0, lateness_allowance)
        end = now + wait + work.expected_s
        return end > min(last_end, work.expires_at)

    def is_admissible(self, work: Work, wait: Seconds, now: Seconds) -> bool:
        """Whether a new request can be served before it is useless.

        With a free slot, a late answer is accepted too. If no request of the
        route is running, a request is admitted despite its expected run time,
        which may be outdated: otherwise no run would ever correct it.
        """
        if wait:
            return not self.is_too_late(work, wait, now)
        if now + work.expected_s <= work.expires_at:
            return True
        return work.route not in self.at_targets.routes
