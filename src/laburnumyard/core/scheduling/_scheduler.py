"""Decides which request goes to which target of a service, and when.

The scheduler holds an exact count of the requests at each target, so it never
sends one that the target would have to queue, and one queue by rank for those
that wait. Where keys have owners, a placement tells the owner of each key.
"""

from bisect import insort
from collections.abc import Iterable
from operator import attrgetter
from typing import Protocol

from laburnumyard.core.directory import TargetRecord
from laburnumyard.core.ids import Seconds, ShardKey, TargetId
from laburnumyard.core.scheduling._budget import BudgetMeter
from laburnumyard.core.scheduling._poison import PoisonWatch
from laburnumyard.core.scheduling._settings import SchedulerSettings
from laburnumyard.core.scheduling._targets import TargetSlots
from laburnumyard.core.scheduling._times import RunTimes
from laburnumyard.core.scheduling._work import (
    Decision,
    Outcome,
    Refusal,
    Refuse,
    Send,
    Work,
    WorkId,
)

# Entries that stop answering keep their slots this much longer than their
# requests can last, in seconds.
ABANDONED_AFTER_S = 0.5
# A caller comes back after this part of the time that it has left, at most.
LARGEST_PAUSE_PART = 1 / 3
LEAST_PAUSE_S = 0.02
# A run that was cut short at twice its expected time counts as this much
# slower a target, since how long it would have taken is not known.
CUT_SHORT_FACTOR = 1.1
SHORTENED_RUNS = frozenset(
    (Outcome.CANCELLED, Outcome.TIMED_OUT, Outcome.BROKE_OFF)
)


class Placement(Protocol):
    """Where the requests with a key have to go."""

    def owner(self, key: ShardKey, now: Seconds) -> TargetId | None:
        """Return the target that holds a key now, None while none does."""

    def destination(self, key: ShardKey) -> TargetId | None:
        """Return the target that holds a key, or is about to."""

    def note_arrival(self, key: ShardKey, cost: Seconds, now: Seconds) -> None:
        """Count a request for a key."""

    def note_not_owner(self, key: ShardKey, target: TargetId) -> None:
        """Take in that a target says it does not hold a key."""


class Scheduler:
    """The queue and the slots of one service.

    Parameters
    ----------
    settings
        Bounds of scheduling.
    placement
        The owners of keys, None where any target may serve.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        placement: Placement | None = None,
    ) -> None:
        """Start without targets and requests."""
        self.settings = settings
        self.placement = placement
        self.times = RunTimes()
        self.budget = BudgetMeter(settings.retry_budget)
        self.poison = PoisonWatch()
        self.targets: dict[TargetId, TargetSlots] = {}
        self.waiting: list[Work] = []
        self.running: dict[WorkId, Work] = {}

    def submit(
        self, work: Work, now: Seconds, *, is_returned: bool
    ) -> list[Decision]:
        """Take a request, and send, queue or refuse it.

        Parameters
        ----------
        work
            The request.
        now
            The time.
        is_returned
            Whether it was refused before; it goes before others of its rank.
        """
        if work.key is not None and self.placement:
            cost = self.times.expect(work.route, None)
            self.placement.note_arrival(work.key, cost, now)
        if self.poison.is_refused(work, now):
            return [self.refuse(work, Refusal.QUARANTINED, now)]
        if work.sends:
            if not self.budget.may_repeat(now, is_returned=is_returned):
                return [self.refuse(work, Refusal.RETRY_BUDGET, now)]
        else:
            self.budget.note_request(now)
        work.order = (work.rank, not is_returned, work.arrived_at)
        wait = self._expected_wait(work, now)
        if not self._is_worth_a_try(work, wait, now):
            return [self.refuse(work, Refusal.OVERLOADED, now)]
        insort(self.waiting, work, key=attrgetter('order'))
        return self.dispatch(now)

    def finish(
        self,
        work_id: WorkId,
        outcome: Outcome,
        now: Seconds,
    ) -> list[Decision]:
        """Give the slot of a request to the next one.

        Parameters
        ----------
        work_id
            A request that was sent; one that is not known changes nothing.
        outcome
            How it ended.
        now
            The time.
        """
        work = self.running.pop(work_id, None)
        if work is None or work.target is None:
            return []
        slots = self.targets.get(work.target)
        if slots:
            slots.running -= 1
            is_whole = self.settings.is_alone
            slots.note(outcome, now, is_counted_whole=is_whole)
            self.poison.note(work, slots.record.life, outcome, now)
            if outcome is Outcome.NOT_OWNER and self.placement:
                if work.key is not None:
                    self.placement.note_not_owner(work.key, work.target)
            self._learn(work, outcome, now)
        return self.dispatch(now)

    def withdraw(self, work_id: WorkId, now: Seconds) -> list[Decision]:
        """Drop a request whose caller waits no more."""
        if work_id in self.running:
            return self.finish(work_id, Outcome.CANCELLED, now)
        self.waiting = [
            work for work in self.waiting if work.work_id != work_id
        ]
        return []

    def adopt(self, work: Work, target: TargetId) -> None:
        """Count a request that another scheduler has sent."""
        work.target = target
        self.running[work.work_id] = work
        slots = self.targets.get(target)
        if slots:
            slots.running += 1

    def update_targets(self, records: Iterable[TargetRecord]) -> None:
        """Take the newest records of the service's targets.

        Parameters
        ----------
        records
            All that there are; the others are gone.
        """
        known = self.targets
        self.targets = {}
        for record in records:
            slots = known.get(record.target)
            if slots is None or slots.record.life != record.life:
                if slots:
                    self.poison.note_end(slots.record.life)
                slots = TargetSlots(record, self._count_running(record))
                self.times.forget(record.target)
            slots.record = record
            self.targets[record.target] = slots

    def tick(self, now: Seconds) -> list[Decision]:
        """Send what can be sent, and refuse what waited too long."""
        for work in tuple(self.running.values()):
            if now > work.expires_at + ABANDONED_AFTER_S:
                self.finish(work.work_id, Outcome.CANCELLED, now)
        decisions = self.dispatch(now)
        hopeless = [
            work
            for work in self.waiting
            if self._is_hopeless(work, Seconds(0), now)
        ]
        for work in hopeless:
            self.waiting.remove(work)
            decisions.append(self.refuse(work, self._reason(work, now), now))
        return decisions

    def dispatch(self, now: Seconds) -> list[Decision]:
        """Send each waiting request for which a target has a slot."""
        decisions: list[Decision] = []
        kept: list[Work] = []
        has_room = bool(self.waiting) and self._has_room(now)
        for index, work in enumerate(self.waiting):
            if not has_room:
                kept.extend(self.waiting[index:])
                break
            target = self._choose(work, now)
            if target is None:
                kept.append(work)
                continue
            decisions.append(self._send(work, target, now))
            has_room = self._has_room(now)
        self.waiting = kept
        return decisions

    def refuse(self, work: Work, reason: Refusal, now: Seconds) -> Refuse:
        """Return the refusal of a request, with when to come back."""
        longest = LARGEST_PAUSE_PART * max(0, work.expires_at - now)
        backlog = self._backlog(self.waiting)
        pause = max(LEAST_PAUSE_S, min(backlog, longest))
        return Refuse(work, reason, Seconds(pause))

    def _send(self, work: Work, target: TargetId, now: Seconds) -> Send:
        work.target = target
        work.sent_at = now
        self.running[work.work_id] = work
        self.targets[target].running += 1
        return Send(work, target)

    def _choose(self, work: Work, now: Seconds) -> TargetId | None:
        if work.key is not None and self.placement:
            owner = self.placement.owner(work.key, now)
            slots = self.targets.get(owner) if owner else None
            return owner if slots and slots.has_room(now) else None
        free = [
            slots
            for slots in self.targets.values()
            if slots.has_room(now) and slots.record.target not in work.excluded
        ]
        best = min(
            free, key=lambda slots: self._cost(work, slots), default=None
        )
        return best.record.target if best else None

    def _cost(self, work: Work, slots: TargetSlots) -> float:
        record = slots.record
        pace = self.times.pace(record.target)
        if record.warm_up_left_s > 0:
            pace *= 2
        distance = float(0)
        if record.data_centre != work.data_centre:
            distance = self.settings.distance_cost
        crowd = slots.running / record.slots / 4
        failures = self.settings.failure_cost * slots.failure_rate
        return pace * (1 + crowd) + distance + failures

    def _learn(self, work: Work, outcome: Outcome, now: Seconds) -> None:
        target = work.target
        ran_for = Seconds(now - work.sent_at)
        if target is None or work.sent_at == 0:
            return
        if outcome in {Outcome.ANSWERED, Outcome.FAILED}:
            self.times.record(work.route, target, ran_for)
        elif outcome in SHORTENED_RUNS:
            expected = self.times.expect(work.route, target)
            if ran_for > 2 * expected:
                self.times.slow_down(target, CUT_SHORT_FACTOR)

    def _has_room(self, now: Seconds) -> bool:
        return any(slots.has_room(now) for slots in self.targets.values())

    def _count_running(self, record: TargetRecord) -> int:
        return sum(
            work.target == record.target for work in self.running.values()
        )

    def _expected_wait(self, work: Work, now: Seconds) -> Seconds:
        ahead = [other for other in self.waiting if other.order <= work.order]
        if work.key is None or self.placement is None:
            if self._has_room(now) and not ahead:
                return Seconds(0)
            return self._backlog([*ahead, work])
        owner = self.placement.destination(work.key)
        slots = self.targets.get(owner) if owner else None
        if slots is None or (slots.has_room(now) and not ahead):
            return Seconds(0)
        rivals = [
            other
            for other in ahead
            if other.key is not None
            and self.placement.destination(other.key) == owner
        ]
        seconds = sum(self.times.expect(other.route, owner) for other in rivals)
        return Seconds(seconds / slots.record.slots)

    def _backlog(self, works: list[Work]) -> Seconds:
        """Return how long all targets together take for some requests."""
        capacity = sum(
            slots.record.slots / self.times.pace(target)
            for target, slots in self.targets.items()
            if not slots.losses
        )
        seconds = sum(self.times.expect(work.route, None) for work in works)
        return Seconds(seconds / max(1.0, capacity))

    def _is_hopeless(self, work: Work, wait: Seconds, now: Seconds) -> bool:
        late = self.settings.late_share * (work.expires_at - work.due_at)
        last_end = work.due_at + max(0, late)
        run_time = self.times.expect(work.route, None)
        return now + wait + run_time > min(last_end, work.expires_at)

    def _is_worth_a_try(self, work: Work, wait: Seconds, now: Seconds) -> bool:
        """Whether a new request may be served in time.

        One that finds a free slot takes it for a late answer too. Where
        nothing of its route runs, the expected time may be outdated: if it
        alone could refuse, no request would ever correct it.
        """
        if wait:
            return not self._is_hopeless(work, wait, now)
        run_time = self.times.expect(work.route, None)
        if now + run_time <= work.expires_at:
            return True
        return all(other.route != work.route for other in self.running.values())

    def _reason(self, work: Work, now: Seconds) -> Refusal:
        if not self.targets:
            return Refusal.NO_TARGET
        if work.key is not None and self.placement:
            if self.placement.owner(work.key, now) is None:
                return Refusal.NO_OWNER
        return Refusal.OVERLOADED
