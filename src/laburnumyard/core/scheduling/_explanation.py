"""Explains where a request would go now, without a change of any state.

A decision refills token buckets, counts the request and dispatches others, so
it is taken on a copy of the scheduler. It is therefore the decision itself and
not a second version of its rules.
"""

from collections.abc import Iterator
from copy import copy, deepcopy
from dataclasses import dataclass
from enum import Enum
from functools import partial

from laburnumyard.core.admission import ADMITTED, AdmissionReason
from laburnumyard.core.ids import Seconds, ShardKey, TargetId
from laburnumyard.core.scheduling._scheduler import Placement, Scheduler
from laburnumyard.core.scheduling._send_rate import RateLimiter
from laburnumyard.core.scheduling._target_cost import Candidate as CostCandidate
from laburnumyard.core.scheduling._target_cost import TargetCost
from laburnumyard.core.scheduling._target_slots import TargetSlots
from laburnumyard.core.scheduling._work import (
    Decision,
    Refusal,
    Refuse,
    Send,
    Work,
)

# An explanation has this many candidates at most, about 25 kB in JSON.
MAX_CANDIDATES = 50
# The largest service that is explained. The time for the copy grows with it,
# and the gateway does nothing else meanwhile: 67 ms at these limits, on a
# machine with three running processes per core.
MAX_EXPLAINED_TARGETS = 1000
MAX_EXPLAINED_REQUESTS = 5000


class Verdict(Enum):
    """What would become of a request now."""

    SENT = 'sent'
    QUEUED = 'queued'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target of the service, as the scheduler sees it.

    Parameters
    ----------
    target, data_centre
        The target and where it is.
    admission
        Whether it may get a request now.
    is_owner
        Whether it holds the key of the request, or is about to.
    cost
        What the scheduler compares, in mean run times of the route; the lowest
        one is chosen, unless the request ends clearly earlier if it waits for
        a full target. It has no meaning for a key with an owner.
    expected_run_s
        Expected run time of the request, in seconds.
    pace
        Present run time relative to the mean of the route, with what the
        target reported lately.
    remaining_s
        What the target still has to do, in slot seconds.
    free_in_s
        Expected time until one of its slots is free, in seconds.
    running, slots
        Requests that it runs, and how many it runs concurrently.
    failure_rate
        Moving rate of failed runs.
    reported_slowdown
        The last slowdown that it reported, None if it reported none.
    report_age_s
        How long ago it last reported its load, in seconds; None if it has not.
    report_trust
        How far its reports are trusted, from 0 to 1.
    paused_s, cold_left_s, warm_up_left_s
        How long it gets no request, is cold, and is slow after its start, in
        seconds.
    rate_per_second
        Rate limit that applies here, None without one.
    heard_s
        How long ago it last said whether it limits its callers, in seconds;
        None if it has not.
    """

    target: TargetId
    data_centre: str
    admission: AdmissionReason
    is_owner: bool
    cost: float
    expected_run_s: float
    pace: float
    remaining_s: float
    free_in_s: float
    running: int
    slots: int
    failure_rate: float
    reported_slowdown: float | None
    report_age_s: float | None
    report_trust: float
    paused_s: float
    cold_left_s: float
    warm_up_left_s: float
    rate_per_second: float | None
    heard_s: float | None


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go now, and why.

    Parameters
    ----------
    verdict
        What would become of it.
    target
        Where it would be sent; None if it is not.
    refusal, retry_after_s
        Why it would be refused, and the delay that the caller would be told,
        in seconds.
    holder, destination
        Target that holds the key now, and the one that holds it or is about
        to; None for a request without an owner.
    waits_for
        The full target where it would end earliest, if it would wait for that
        one although another has room.
    waiting, running
        Requests of the service that wait, and that run.
    targets
        Number of targets that may run the request. A key has its holder only.
    candidates
        The best of them, the best one first.
    """

    verdict: Verdict
    target: TargetId | None
    refusal: Refusal | None
    retry_after_s: float
    holder: TargetId | None
    destination: TargetId | None
    waits_for: TargetId | None
    waiting: int
    running: int
    targets: int
    candidates: tuple[Candidate, ...]


@dataclass(frozen=True, slots=True)
class _ReadOnlyPlacement:
    """Placement that answers as another one, and records nothing.

    It stands in for the placement in a copy: that of a service with many keys
    takes long to copy.
    """

    placement: Placement

    @property
    def version(self) -> int:
        """Return the version of the assignment, 0 if it never changes."""
        return getattr(self.placement, 'version', 0)

    def owner(self, key: ShardKey, now: Seconds) -> TargetId | None:
        """Return the target that holds a key now, None while none does."""
        return self.placement.owner(key, now)

    def destination(self, key: ShardKey) -> TargetId | None:
        """Return the target that holds a key, or is about to."""
        return self.placement.destination(key)

    def note_arrival(self, key: ShardKey, cost: Seconds, now: Seconds) -> None:
        """Ignore a request."""

    def note_work(
        self, key: ShardKey, correction: Seconds, now: Seconds
    ) -> None:
        """Ignore a measured cost."""

    def note_not_owner(self, key: ShardKey, target: TargetId) -> None:
        """Ignore what a target reported."""


def explain(scheduler: Scheduler, work: Work, now: Seconds) -> Explanation:
    """Return where a first send of a request would go now.

    Parameters
    ----------
    scheduler
        The scheduler of the service; it does not change.
    work
        The request; it does not change.
    now
        The current time, in seconds.
    """
    trial = _copy_scheduler(scheduler)
    holder = None
    destination = None
    if work.key is not None and trial.placement:
        holder = trial.placement.owner(work.key, now)
        destination = trial.placement.destination(work.key)
    submitted = copy(work)
    trial.cost.note_arrival(submitted, now)
    # As choose does, whose order decides among equal costs.
    trial.cost.refresh(now)
    places = [
        place
        for place in trial.cost.by_floor
        if trial.placement is None
        or work.key is None
        or place.target == destination
    ]
    places.sort(key=partial(_order, trial.cost, submitted, now))
    candidates = [
        _describe(trial, place, submitted, now, destination)
        for place in places[:MAX_CANDIDATES]
    ]
    decisions = trial.submit(submitted, now, is_returned=False)
    decision = next(
        (each for each in decisions if each.work is submitted), None
    )
    return Explanation(
        _verdict(decision),
        decision.target if isinstance(decision, Send) else None,
        decision.reason if isinstance(decision, Refuse) else None,
        decision.retry_after_s if isinstance(decision, Refuse) else 0,
        holder,
        destination,
        _waits_for(trial, submitted) if decision is None else None,
        len(scheduler.queue),
        len(scheduler.running),
        len(places),
        tuple(candidates),
    )


def is_explainable(scheduler: Scheduler) -> bool:
    """Whether a service is small enough to be explained."""
    requests = len(scheduler.queue) + len(scheduler.running)
    return (
        len(scheduler.targets) <= MAX_EXPLAINED_TARGETS
        and requests <= MAX_EXPLAINED_REQUESTS
    )


def _copy_scheduler(scheduler: Scheduler) -> Scheduler:
    # What deepcopy finds here it does not copy again.
    known: dict[int, object] = {
        id(each): each for each in _read_only_parts(scheduler)
    }
    known.update((id(each), copy(each)) for each in _flat_parts(scheduler))
    placement = scheduler.placement
    if placement is not None:
        known[id(placement)] = _ReadOnlyPlacement(placement)
    limiter = deepcopy(scheduler.limiter, known)
    for slots in scheduler.targets.values():
        known[id(slots)] = _copy_slots(slots, limiter)
    return deepcopy(scheduler, known)


def _copy_slots(slots: TargetSlots, limiter: RateLimiter) -> TargetSlots:
    copied = copy(slots)
    copied.limiter = limiter
    return copied


def _read_only_parts(scheduler: Scheduler) -> Iterator[object]:
    """Yield what a submission only reads."""
    times = scheduler.times
    yield from (
        scheduler.settings,
        scheduler.payloads,
        scheduler.senders,
        scheduler.crash_attribution,
        scheduler.cost.model.routes,
        scheduler.cost.model.classes,
        times.routes,
        times.paces,
        times.reported,
    )
    yield from scheduler.running.values()
    for slots in scheduler.targets.values():
        yield slots.record


def _flat_parts(scheduler: Scheduler) -> Iterator[object]:
    """Yield what holds only immutable or shared objects.

    A flat copy of them takes a fraction of the time of a deep one.
    """
    # Their fields change when they are sent.
    yield from scheduler.queue.by_id.values()
    yield from scheduler.times.steady.values()
    yield scheduler.running
    yield from scheduler.at_targets.targets.values()
    yield from scheduler.cost.remaining.runs.values()
    yield scheduler.index.capacities


def _describe(
    scheduler: Scheduler,
    place: CostCandidate,
    work: Work,
    now: Seconds,
    destination: TargetId | None,
) -> Candidate:
    slots = place.slots
    record = slots.record
    target = record.target
    rate = slots.rate(now)
    cost = scheduler.cost
    reports = scheduler.times.reported.targets.get(target)
    heard_at = scheduler.limiter.heard_at.get(record.life)
    return Candidate(
        target,
        record.data_centre,
        slots.admission(now),
        target == destination,
        cost.run_cost(place, work, cost.distance(work.route), now),
        cost.model.expect(work, target, now),
        scheduler.times.present_pace(target, now),
        cost.remaining.at(target, now),
        cost.remaining.free_in(target, now),
        slots.running,
        record.slots,
        slots.failure_rate,
        reports.slowdown or None if reports else None,
        now - reports.at if reports else None,
        reports.trust if reports else 0,
        max(0, slots.paused_until - now),
        max(0, record.cold_until - now),
        record.warm_up_left_s,
        rate.per_second if rate else None,
        None if heard_at is None else now - heard_at,
    )


def _waits_for(scheduler: Scheduler, work: Work) -> TargetId | None:
    reserved = scheduler.cost.reserved.items()
    return next(
        (target for target, held in reserved if held.work_id == work.work_id),
        None,
    )


def _order(
    cost: TargetCost, work: Work, now: Seconds, place: CostCandidate
) -> tuple[bool, float]:
    return (
        place.slots.admission(now) is not ADMITTED,
        cost.run_cost(place, work, cost.distance(work.route), now),
    )


def _verdict(decision: Decision | None) -> Verdict:
    if decision is None:
        return Verdict.QUEUED
    return Verdict.SENT if isinstance(decision, Send) else Verdict.REFUSED
