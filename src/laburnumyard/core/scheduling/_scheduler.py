"""Decides which request is sent to which target of a service, and when.

The scheduler counts the requests at each target exactly, so that it never sends
one that the target would have to queue, and keeps one queue of waiting requests
ordered by rank. If keys have owners, a placement returns the owner of a key.
"""

from bisect import insort
from collections.abc import Iterable
from functools import partial
from operator import attrgetter
from typing import Protocol

from laburnumyard.core.ids import Seconds, ShardKey, TargetId
from laburnumyard.core.rate_limits import UNKNOWN_LIMIT, LimitStatement
from laburnumyard.core.scheduling._budget import BudgetMeter
from laburnumyard.core.scheduling._crash_attribution import CrashAttribution
from laburnumyard.core.scheduling._run_times import RunTimes
from laburnumyard.core.scheduling._send_rate import RateLimiter
from laburnumyard.core.scheduling._sender_failures import SenderFailures
from laburnumyard.core.scheduling._settings import SchedulerSettings
from laburnumyard.core.scheduling._target_cost import PayloadSizes, TargetCost
from laburnumyard.core.scheduling._target_slots import TargetSlots
from laburnumyard.core.scheduling._work import (
    Decision,
    Outcome,
    Refusal,
    Refuse,
    Send,
    Work,
    WorkId,
)
from laburnumyard.core.target_directory import TargetRecord

# Slots of requests whose entry gateway stopped responding are freed this many
# seconds after the requests have expired.
ABANDONED_AFTER_S = 0.5
# Upper bound on the retry-after delay, as a fraction of the time until expiry.
MAX_RETRY_AFTER_FRACTION = 1 / 3
MIN_RETRY_AFTER_S = 0.02
# Factor on the pace of a target after a run that was interrupted beyond twice
# its expected time, since its full run time is not known.
INTERRUPTED_RUN_FACTOR = 1.1
INTERRUPTED_OUTCOMES = frozenset(
    (
        Outcome.CANCELLED,
        Outcome.TIMED_OUT,
        Outcome.BROKE_OFF,
        Outcome.OVERSIZED,
    )
)


class Placement(Protocol):
    """Lookup of the target that owns a key."""

    def owner(self, key: ShardKey, now: Seconds) -> TargetId | None:
        """Return the target that holds a key now, None while none does."""

    def destination(self, key: ShardKey) -> TargetId | None:
        """Return the target that holds a key, or is about to."""

    def note_arrival(self, key: ShardKey, cost: Seconds, now: Seconds) -> None:
        """Count a request for a key."""

    def note_not_owner(self, key: ShardKey, target: TargetId) -> None:
        """Record that a target reported that it does not hold a key."""


class Scheduler:
    """Queue and slot allocation of one service.

    Parameters
    ----------
    settings
        Limits and weights of scheduling.
    placement
        The owners of keys; None if any target may serve any request.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        placement: Placement | None = None,
    ) -> None:
        """Start without targets or requests."""
        self.settings = settings
        self.placement = placement
        self.times = RunTimes()
        self.payloads = PayloadSizes()
        self.cost = TargetCost(settings, self.times, self.payloads)
        self.budget = BudgetMeter(settings.retry_budget)
        self.crash_attribution = CrashAttribution()
        self.limiter = RateLimiter()
        self.senders = SenderFailures()
        self.targets: dict[TargetId, TargetSlots] = {}
        self.waiting: list[Work] = []
        self.running: dict[WorkId, Work] = {}

    def submit(
        self, work: Work, now: Seconds, *, is_returned: bool
    ) -> list[Decision]:
        """Send, queue or refuse a new request.

        Parameters
        ----------
        work
            The request.
        now
            The current time, in seconds.
        is_returned
            Whether it was refused before; it precedes others of its rank.
        """
        if work.key is not None and self.placement:
            cost = self.times.expect(work.route, None)
            self.placement.note_arrival(work.key, cost, now)
        if self.crash_attribution.is_quarantined(work, now):
            return [self.refuse(work, Refusal.QUARANTINED, now)]
        if work.sends:
            if not self.budget.try_record_retry(now, is_returned=is_returned):
                return [self.refuse(work, Refusal.RETRY_BUDGET, now)]
        else:
            self.budget.note_request(now)
        work.order = (work.rank, not is_returned, work.arrived_at)
        wait = self._expected_wait(work, now)
        if not self._is_admissible(work, wait, now):
            return [self.refuse(work, self._overload_reason(work, now), now)]
        insort(self.waiting, work, key=attrgetter('order'))
        return self.dispatch(now)

    def finish(
        self,
        work_id: WorkId,
        outcome: Outcome,
        now: Seconds,
        payload_bytes: int = 0,
        rate_limit: LimitStatement = UNKNOWN_LIMIT,
    ) -> list[Decision]:
        """Free the slot of a request and dispatch waiting requests.

        Parameters
        ----------
        work_id
            The id of a sent request; an unknown id has no effect.
        outcome
            The outcome of its run.
        now
            The current time, in seconds.
        payload_bytes
            Size of the request and its response; 0 without a response.
        rate_limit
            What the response says about the rate limit of the target.
        """
        work = self.running.pop(work_id, None)
        if work is None or work.target is None:
            return []
        if payload_bytes:
            self.payloads.record(work.route, payload_bytes)
        slots = self.targets.get(work.target)
        if slots:
            slots.running -= 1
            slots.note(
                self.senders.judge(work.sender, work.target, outcome, now),
                now,
                is_count_complete=self.settings.is_only_scheduler,
            )
            self.limiter.record(slots.record.life, rate_limit, now)
            self.crash_attribution.note(work, slots.record.life, outcome, now)
            if outcome is Outcome.NOT_OWNER and self.placement:
                if work.key is not None:
                    self.placement.note_not_owner(work.key, work.target)
            self._record_run_time(work, outcome, now)
        return self.dispatch(now)

    def withdraw(self, work_id: WorkId, now: Seconds) -> list[Decision]:
        """Drop a request whose caller no longer waits."""
        if work_id in self.running:
            return self.finish(work_id, Outcome.CANCELLED, now)
        self.waiting = [
            work for work in self.waiting if work.work_id != work_id
        ]
        return []

    def adopt(self, work: Work, target: TargetId) -> None:
        """Count a request that another scheduler sent."""
        work.target = target
        self.running[work.work_id] = work
        slots = self.targets.get(target)
        if slots:
            slots.running += 1

    def update_targets(self, records: Iterable[TargetRecord]) -> None:
        """Replace the records of the service's targets.

        Parameters
        ----------
        records
            The records of all current targets; targets without one are
            removed.
        """
        known = self.targets
        self.targets = {}
        for record in records:
            slots = known.get(record.target)
            if slots is None or slots.record.life != record.life:
                if slots:
                    self.crash_attribution.note_target_end(slots.record.life)
                slots = TargetSlots(
                    record, self.limiter, self._count_running(record)
                )
                self.times.forget(record.target)
            if slots.has_warmed_up(record):
                self.times.forget(record.target)
            slots.record = record
            self.targets[record.target] = slots
        self.limiter.forget_replaced(
            [slots.record.life for slots in self.targets.values()]
        )

    def tick(self, now: Seconds) -> list[Decision]:
        """Dispatch waiting requests and refuse those that waited too long."""
        for work in tuple(self.running.values()):
            if now > work.expires_at + ABANDONED_AFTER_S:
                self.finish(work.work_id, Outcome.CANCELLED, now)
        decisions = self.dispatch(now)
        too_late = [
            work
            for work in self.waiting
            if self._is_too_late(work, Seconds(0), now)
        ]
        for work in too_late:
            self.waiting.remove(work)
            decisions.append(
                self.refuse(work, self._refusal_reason(work, now), now)
            )
        return decisions

    def dispatch(self, now: Seconds) -> list[Decision]:
        """Send each waiting request for which a target has a free slot."""
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
        """Return the refusal of a request with its retry-after delay."""
        max_retry_after = MAX_RETRY_AFTER_FRACTION * max(
            0, work.expires_at - now
        )
        expected = self._backlog(self.waiting, now)
        if reason is Refusal.RATE_LIMITED:
            expected = max(expected, self._expected_wait(work, now))
        retry_after = max(MIN_RETRY_AFTER_S, min(expected, max_retry_after))
        return Refuse(work, reason, Seconds(retry_after))

    def _send(self, work: Work, target: TargetId, now: Seconds) -> Send:
        work.target = target
        work.sent_at = now
        self.running[work.work_id] = work
        self.targets[target].occupy(now)
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
        best = min(free, key=partial(self.cost.of, work), default=None)
        return best.record.target if best else None

    def _record_run_time(
        self, work: Work, outcome: Outcome, now: Seconds
    ) -> None:
        target = work.target
        ran_for = Seconds(now - work.sent_at)
        if target is None or work.sent_at == 0:
            return
        if outcome in {Outcome.ANSWERED, Outcome.FAILED}:
            self.times.record(work.route, target, ran_for)
        elif outcome in INTERRUPTED_OUTCOMES:
            expected = self.times.expect(work.route, target)
            if ran_for > 2 * expected:
                self.times.slow_down(target, INTERRUPTED_RUN_FACTOR)

    def _has_room(self, now: Seconds) -> bool:
        return any(slots.has_room(now) for slots in self.targets.values())

    def _count_running(self, record: TargetRecord) -> int:
        return sum(
            work.target == record.target for work in self.running.values()
        )

    def _expected_wait(self, work: Work, now: Seconds) -> Seconds:
        waiting_ahead = [
            other for other in self.waiting if other.order <= work.order
        ]
        if work.key is None or self.placement is None:
            if self._has_room(now) and not waiting_ahead:
                return Seconds(0)
            return self._backlog([*waiting_ahead, work], now)
        owner = self.placement.destination(work.key)
        slots = self.targets.get(owner) if owner else None
        if slots is None or (slots.has_room(now) and not waiting_ahead):
            return Seconds(0)
        ahead_at_owner = [
            other
            for other in waiting_ahead
            if other.key is not None
            and self.placement.destination(other.key) == owner
        ]
        seconds = sum(
            self.times.expect(other.route, owner) for other in ahead_at_owner
        )
        wait = Seconds(seconds / slots.record.slots)
        rate = slots.rate(now)
        if rate is None:
            return wait
        return max(wait, rate.wait(len(ahead_at_owner) + 1, now))

    def _backlog(self, works: list[Work], now: Seconds) -> Seconds:
        """Return the time that all targets together need for some requests."""
        capacity = sum(
            slots.capacity(self.times, now)
            for slots in self.targets.values()
            if not slots.losses
        )
        seconds = sum(self.times.expect(work.route, None) for work in works)
        return Seconds(seconds / (capacity or 1))

    def _is_too_late(self, work: Work, wait: Seconds, now: Seconds) -> bool:
        lateness_allowance = self.settings.late_share * (
            work.expires_at - work.due_at
        )
        last_end = work.due_at + max(0, lateness_allowance)
        run_time = self.times.expect(work.route, None)
        return now + wait + run_time > min(last_end, work.expires_at)

    def _is_admissible(self, work: Work, wait: Seconds, now: Seconds) -> bool:
        """Whether a new request can be served before it is useless.

        With a free slot, a late answer is accepted too. If no request of the
        route is running, a request is admitted despite its expected run time,
        which may be outdated: otherwise no run would ever correct it.
        """
        if wait:
            return not self._is_too_late(work, wait, now)
        run_time = self.times.expect(work.route, None)
        if now + run_time <= work.expires_at:
            return True
        return all(other.route != work.route for other in self.running.values())

    def _refusal_reason(self, work: Work, now: Seconds) -> Refusal:
        if not self.targets:
            return Refusal.NO_TARGET
        if work.key is not None and self.placement:
            if self.placement.owner(work.key, now) is None:
                return Refusal.NO_OWNER
        return self._overload_reason(work, now)

    def _overload_reason(self, work: Work, now: Seconds) -> Refusal:
        candidates = list(self.targets.values())
        if work.key is not None and self.placement:
            owner = self.placement.destination(work.key)
            candidates = [
                slots for slots in candidates if slots.record.target == owner
            ]
        is_limited = any(
            slots.has_free_slot(now) and not slots.has_room(now)
            for slots in candidates
        )
        return Refusal.RATE_LIMITED if is_limited else Refusal.OVERLOADED
