"""Choice of the target where a request of a pooled service ends first."""

import math
from bisect import insort
from collections.abc import Mapping
from dataclasses import dataclass, field
from operator import attrgetter

from laburnumyard.core.ids import DataCentre, RouteName, Seconds, TargetId
from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.scheduling._cost_model import CostModel
from laburnumyard.core.scheduling._remaining_work import RemainingWork
from laburnumyard.core.scheduling._run_times import MIN_RUN_TIME_S, RunTimes
from laburnumyard.core.scheduling._settings import SchedulerSettings
from laburnumyard.core.scheduling._target_slots import TargetSlots
from laburnumyard.core.scheduling._work import (
    OrderClass,
    Outcome,
    Work,
    WorkId,
)
from laburnumyard.core.target_directory import TargetState

# Weight of a new sample in the mean payload of a route; about the last 20
# count.
PAYLOAD_GAIN = 0.05
# A target that is warming up takes about twice as long per request.
WARM_UP_FACTOR = 2
# Share of a run time by which a target with all slots in use is slower.
OCCUPANCY_FACTOR = 0.25
# Factor on the pace of a target after a run that was interrupted beyond twice
# its expected time, since its full run time is not known.
INTERRUPTED_RUN_FACTOR = 1.1
INTERRUPTED_OUTCOMES = frozenset(
    (
        Outcome.CANCELLED,
        Outcome.TIMED_OUT,
        Outcome.BROKE_OFF,
        Outcome.INVALID,
        Outcome.OVERSIZED,
    )
)
# Measured work counts up to this multiple of the expected work: a single long
# run says little about the next one.
MAX_MEASURED_FACTOR = 3.0
# Part of the difference between measured and expected work by which the load of
# a key is corrected. The whole of it moved keys by chance: the busiest target
# of a hot spot had 1.44 of the mean load for 1.32, and 14 % more keys moved.
MEASURED_PART = 0.25
# Interval in which the paces of idle targets are updated, in seconds.
RELAX_INTERVAL_S = 0.25
# A request waits for a faster target if it ends there this much earlier, in
# mean run times. A smaller gain is within what run times vary by.
MIN_WAIT_GAIN = 1.5
# Of the targets with the lowest costs, this many may be waited for.
MAX_WAIT_TARGETS = 8
# The least time for which a request may hold a reservation, in seconds.
TICK_S = 0.05
FLOOR = attrgetter('floor')


@dataclass(slots=True)
class PayloadSizes:
    """Moving means of the bytes that requests and responses carry.

    Attributes
    ----------
    routes
        Mean size of each route, in bytes.
    """

    routes: dict[RouteName, float] = field(default_factory=dict)

    def expect(self, route: RouteName) -> float:
        """Return the size to expect, in bytes; 0 before the first one."""
        return self.routes.get(route, 0)

    def record(self, route: RouteName, size: int) -> None:
        """Record the size of one request and its response, in bytes."""
        mean = self.routes.get(route, float(size))
        self.routes[route] = mean + PAYLOAD_GAIN * (size - mean)


@dataclass(slots=True, eq=False)
class Candidate:
    """What a placement reads of a target, without a look-up.

    Parameters
    ----------
    slots
        The target.
    target, data_centre
        Its name and place.
    warm_up
        Factor on its pace while it is warming up.
    occupancy
        Factor on its pace of each request that it runs.
    limit
        Its number of slots.
    floor
        The least that its present pace can be before its next response.
    """

    slots: TargetSlots
    target: TargetId
    data_centre: DataCentre
    warm_up: float
    occupancy: float
    limit: int
    floor: float = 0


@dataclass(frozen=True, slots=True)
class Reservation:
    """A request that waits for a full target, and until when it does."""

    work_id: WorkId
    order_class: OrderClass
    until: float

    def is_before(self, work: Work, now: Seconds) -> bool:
        """Whether it goes before another request for the target."""
        if work.work_id == self.work_id or now >= self.until:
            return False
        return self.order_class <= work.order_class


class TargetCost:
    """Expected end of requests at targets.

    Parameters
    ----------
    settings
        Weights of distance and failures.
    times
        Paces and load reports of the targets.
    payloads
        Sizes by route.

    Attributes
    ----------
    model
        Expected work of requests.
    remaining
        Requests that the targets are running.
    candidates
        The targets.
    by_floor
        The targets, those with the lowest floor first.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        times: RunTimes,
        payloads: PayloadSizes,
    ) -> None:
        """Start without targets."""
        self.settings = settings
        self.times = times
        self.payloads = payloads
        self.model = CostModel(times)
        self.remaining = RemainingWork(times)
        self.candidates: dict[TargetId, Candidate] = {}
        self.by_floor: list[Candidate] = []
        # Targets whose floor may have changed. Services whose keys have owners
        # need none, so the order is only brought up to date for a choice.
        self.changed: set[TargetId] = set()
        self.relax_at: float = 0
        # Requests that wait for a full target, and until when they do.
        self.reserved: dict[TargetId, Reservation] = {}

    def update(self, targets: Mapping[TargetId, TargetSlots]) -> None:
        """Replace the targets."""
        self.remaining.update(targets)
        self.times.keep_only(targets)
        self.changed.clear()
        self.reserved = {
            target: held
            for target, held in self.reserved.items()
            if target in targets
        }
        self.candidates = {
            target: Candidate(
                slots,
                target,
                slots.record.data_centre,
                WARM_UP_FACTOR if slots.record.warm_up_left_s > 0 else 1,
                OCCUPANCY_FACTOR / slots.record.slots,
                slots.record.slots,
            )
            for target, slots in targets.items()
        }
        self._sort()

    def choose(self, work: Work, now: Seconds) -> TargetId | None:
        """Return the target with room where a request is expected to end first.

        Costs are in mean run times of the route. A target is asked for room
        only if its cost is the lowest so far, and the search ends where no
        later target can cost less.
        """
        self.refresh(now)
        far = self.distance(work.route)
        best, lowest = self._best_free(work, far, now)
        if self._ends_first_elsewhere(work, lowest, far, now):
            return None
        return best

    def refresh(self, now: Seconds) -> None:
        """Bring the order of the targets up to date."""
        if now >= self.relax_at:
            self._relax(now)
        # Sorted, so that the order among equal floors does not depend on the
        # history of the set, which a copy does not have.
        for target in sorted(self.changed):
            self._reposition(target)
        self.changed.clear()

    def _best_free(
        self, work: Work, far: float, now: Seconds
    ) -> tuple[TargetId | None, float]:
        best, lowest = None, math.inf
        for each in self.by_floor:
            if each.floor * work.cost_factor >= lowest:
                break
            cost = self._cost(each, work, far, now)
            if cost < lowest and each.target not in work.excluded:
                if each.slots.has_room(now):
                    best, lowest = each.target, cost
        return best, lowest

    def _ends_first_elsewhere(
        self, work: Work, lowest: float, far: float, now: Seconds
    ) -> bool:
        """Whether a request ends clearly earlier if it waits for a full target.

        One request at a time waits for a target; it is reconsidered with each
        event.
        """
        mean = self.times.routes.get(work.route)
        if mean is None or lowest is math.inf:
            return False
        limit = lowest - MIN_WAIT_GAIN
        for each in self.by_floor[:MAX_WAIT_TARGETS]:
            if each.floor * work.cost_factor >= limit:
                return False
            if not self._may_be_waited_for(each, work, now):
                continue
            free_in = self.remaining.free_in(each.target, now)
            cost = self.run_cost(each, work, far, now) + free_in / mean
            ends_at = now + TICK_S + free_in + work.cost
            if cost < limit and ends_at <= work.last_end_at:
                until = now + max(TICK_S, 2 * free_in)
                held = Reservation(work.work_id, work.order_class, until)
                self.reserved[each.target] = held
                return True
        return False

    def _may_be_waited_for(
        self, each: Candidate, work: Work, now: Seconds
    ) -> bool:
        slots = each.slots
        if slots.running < each.limit or each.target in work.excluded:
            return False
        if slots.losses or now < slots.paused_until:
            return False
        held = self.reserved.get(each.target)
        if held is not None and held.is_before(work, now):
            return False
        is_ready = slots.record.state is TargetState.READY
        return is_ready and slots.rate(now) is None

    def _cost(
        self, each: Candidate, work: Work, far: float, now: Seconds
    ) -> float:
        """Return the cost of a request at a target, infinite if it is full."""
        if each.slots.running >= each.limit:
            return math.inf
        return self.run_cost(each, work, far, now)

    def run_cost(
        self, each: Candidate, work: Work, far: float, now: Seconds
    ) -> float:
        """Return the cost of a run that starts now, whether there is room.

        Parameters
        ----------
        each
            The target.
        work
            The request.
        far
            The penalty of a target in another data centre.
        now
            The current time, in seconds.

        Returns
        -------
        float
            The cost, in mean run times of the route.
        """
        slots = each.slots
        pace = self.times.present_pace(each.target, now) * each.warm_up
        run_time = work.cost_factor * pace
        cost = run_time * (1 + each.occupancy * slots.running)
        cost += self.settings.failure_cost * slots.failure_rate
        return cost if each.data_centre == work.data_centre else cost + far

    def distance(self, route: RouteName) -> float:
        """Return the penalty of a target in another data centre."""
        settings = self.settings
        by_size = settings.distance_cost_per_byte * self.payloads.expect(route)
        return min(settings.max_distance_cost, settings.distance_cost + by_size)

    def note_arrival(self, work: Work, now: Seconds) -> None:
        """Set the expected cost of a new request."""
        work.cost_factor = self.model.factor(work, now)
        work.cost = self.times.expect(work.route, None) * work.cost_factor

    def note_sent(self, work: Work, target: TargetId, now: Seconds) -> None:
        """Set what is expected of the run of a request that is sent."""
        work.stretch = self.times.reported.stretch(target, now)
        work.pace = self.times.steady_pace(target) * work.stretch
        work.reported = self.times.reported.prediction(target, now)
        self.remaining.add(work)
        if self.reserved:
            self.reserved = {
                each: held
                for each, held in self.reserved.items()
                if held.work_id != work.work_id and now < held.until
            }
        steady = self.times.steady.get(target)
        if steady is not None and steady.pace < steady.learned:
            steady.use(now)
            self.changed.add(target)

    def note_report(
        self, slots: TargetSlots, report: LoadReport | None, now: Seconds
    ) -> None:
        """Record the load report of a response, after its run."""
        self.times.reported.note_report(
            slots.record.target, report, slots.running, now
        )
        self.changed.add(slots.record.target)

    def note_run(self, work: Work, outcome: Outcome, now: Seconds) -> Seconds:
        """Record the end of a run.

        Returns
        -------
        Seconds
            By how much its work differed from what was expected, in seconds at
            a target of pace 1; 0 if that is unknown.
        """
        target = work.target
        if target is None or work.sent_at == 0:
            return Seconds(0)
        ran_for = max(now - work.sent_at, MIN_RUN_TIME_S)
        if outcome in INTERRUPTED_OUTCOMES:
            if ran_for > 2 * work.cost * work.pace:
                self.times.slow_down(target, INTERRUPTED_RUN_FACTOR)
            return Seconds(0)
        if outcome not in {Outcome.ANSWERED, Outcome.FAILED}:
            return Seconds(0)
        measured = ran_for / self.times.pace(target)
        self._learn(work, outcome, Seconds(ran_for), now)
        self.times.record(
            work.route,
            target,
            Seconds(ran_for),
            now,
            work.cost_factor,
            work.stretch,
        )
        return Seconds(
            MEASURED_PART
            * (min(measured, MAX_MEASURED_FACTOR * work.cost) - work.cost)
        )

    def _reposition(self, target: TargetId) -> None:
        each = self.candidates.get(target)
        if each is not None:
            self.by_floor.remove(each)
            each.floor = self._floor(each)
            insort(self.by_floor, each, key=FLOOR)

    def _relax(self, now: Seconds) -> None:
        """Let the paces of idle targets return to that of a mean target."""
        self.relax_at = now + RELAX_INTERVAL_S
        for steady in self.times.steady.values():
            steady.relax(now)
        self._sort()

    def _sort(self) -> None:
        for each in self.candidates.values():
            each.floor = self._floor(each)
        self.by_floor = sorted(self.candidates.values(), key=FLOOR)

    def _floor(self, each: Candidate) -> float:
        floor = self.times.steady_pace(each.target) * each.warm_up
        reports = self.times.reported.targets.get(each.target)
        if reports is None or reports.excess >= 0:
            return floor
        return floor * (1 + reports.excess)

    def _learn(
        self, work: Work, outcome: Outcome, ran_for: Seconds, now: Seconds
    ) -> None:
        mean = self.times.routes.get(work.route)
        if mean is None or work.target is None:
            return
        usual = work.cost_factor * mean * self.times.steady_pace(work.target)
        self.times.reported.note_run(
            work.target, work.reported, math.log(ran_for / usual)
        )
        if outcome is Outcome.ANSWERED:
            self.model.record(work, ran_for / (mean * work.pace), now)
