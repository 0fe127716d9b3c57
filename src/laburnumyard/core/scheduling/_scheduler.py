"""Decides which request is sent to which target of a service, and when.

The scheduler counts the requests at each target exactly, so that it never sends
one that the target would have to queue, and keeps one queue of waiting requests
ordered by rank. If keys have owners, a placement returns the owner of a key.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from laburnumyard.core.ids import Seconds, ShardKey, TargetId
from laburnumyard.core.scheduling._budget import BudgetMeter
from laburnumyard.core.scheduling._crash_attribution import CrashAttribution
from laburnumyard.core.scheduling._demand_rates import DemandRates
from laburnumyard.core.scheduling._refusals import Refusals
from laburnumyard.core.scheduling._return_times import ReturnTimes
from laburnumyard.core.scheduling._run_report import RunReport
from laburnumyard.core.scheduling._run_times import RunTimes
from laburnumyard.core.scheduling._running import RunningRequests
from laburnumyard.core.scheduling._send_rate import RateLimiter
from laburnumyard.core.scheduling._sender_failures import SenderFailures
from laburnumyard.core.scheduling._settings import SchedulerSettings
from laburnumyard.core.scheduling._target_cost import PayloadSizes, TargetCost
from laburnumyard.core.scheduling._target_index import TargetIndex
from laburnumyard.core.scheduling._target_slots import TargetSlots
from laburnumyard.core.scheduling._wait_estimate import WaitEstimate
from laburnumyard.core.scheduling._waiting_queue import ANY_TARGET, WaitingQueue
from laburnumyard.core.scheduling._work import (
    Decision,
    Outcome,
    Refusal,
    Send,
    Work,
    WorkId,
)
from laburnumyard.core.target_directory import TargetRecord

# Slots of requests whose entry gateway stopped responding are freed this many
# seconds after the requests have expired.
ABANDONED_AFTER_S = 0.5


class Placement(Protocol):
    """Lookup of the target that owns a key."""

    def owner(self, key: ShardKey, now: Seconds) -> TargetId | None:
        """Return the target that holds a key now, None while none does."""

    def destination(self, key: ShardKey) -> TargetId | None:
        """Return the target that holds a key, or is about to."""

    def note_arrival(self, key: ShardKey, cost: Seconds, now: Seconds) -> None:
        """Count a request for a key."""

    def note_work(
        self, key: ShardKey, correction: Seconds, now: Seconds
    ) -> None:
        """Correct the cost of a request by the measured one."""

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
        self.index = TargetIndex(self.times)
        self.queue = WaitingQueue(placement)
        self.at_targets = RunningRequests()
        self.demands = DemandRates()
        self.returns = ReturnTimes(self.demands)
        self.estimate = WaitEstimate(
            settings, self.index, self.queue, self.at_targets, self.demands
        )
        self.refusals = Refusals(
            self.index, self.queue, self.estimate, self.returns
        )

    @property
    def running(self) -> dict[WorkId, Work]:
        """The requests that occupy a slot."""
        return self.at_targets.works

    @property
    def waiting(self) -> list[Work]:
        """The waiting requests in the order in which they are served."""
        return list(self.queue)

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
        self.cost.note_arrival(work, now)
        if work.key is not None and self.placement:
            self.placement.note_arrival(work.key, Seconds(work.cost), now)
        if self.crash_attribution.is_quarantined(work, now):
            return [self.refusals.refuse(work, Refusal.QUARANTINED, now)]
        if work.sends:
            if not self.budget.try_record_retry(
                now, is_returned=is_returned, rank=work.rank
            ):
                return [self.refusals.refuse(work, Refusal.RETRY_BUDGET, now)]
        else:
            self.budget.note_request(now)
        work.order_class = (
            work.rank,
            int(not is_returned) + 2 * (work.sends > 0),
        )
        self._note_demand(work, now, is_returned=is_returned)
        # What waits goes before it to a target that has just got room.
        decisions = self._serve_targets(self._catch_up(now), now)
        wait = self.estimate.wait(work, now)
        if not self.estimate.is_admissible(work, wait, now):
            return [self.refusals.overload(work, now), *decisions]
        if not self.queue:
            target = self._choose(work, now)
            if target is not None:
                return [*decisions, self._send(work, target, now)]
        self.queue.add(work)
        if work.work_id in self.queue.by_id:
            decisions += self._serve((work,), self.index.has_room, now)
        if work.work_id in self.queue.by_id:
            overdue = self.estimate.overdue_behind(work, now)
            decisions += self._refuse_waiting(overdue, now)
        return decisions

    def finish(
        self,
        work_id: WorkId,
        report: RunReport,
        now: Seconds,
    ) -> list[Decision]:
        """Free the slot of a request and dispatch waiting requests.

        Parameters
        ----------
        work_id
            The id of a sent request; an unknown id has no effect.
        report
            How its run ended.
        now
            The current time, in seconds.
        """
        work = self.at_targets.pop(work_id)
        if work is None or work.target is None:
            return []
        self.cost.remaining.remove(work)
        outcome = report.outcome
        if report.payload_bytes:
            self.payloads.record(work.route, report.payload_bytes)
        slots = self.targets.get(work.target)
        if slots:
            slots.running -= 1
            slots.note(
                self.senders.judge(work.sender, work.target, outcome, now),
                now,
                is_count_complete=self.settings.is_only_scheduler,
            )
            self.limiter.record(slots.record.life, report.rate_limit, now)
            self.crash_attribution.note(work, slots.record.life, outcome, now)
            if outcome is Outcome.NOT_OWNER and self.placement:
                if work.key is not None:
                    self.placement.note_not_owner(work.key, work.target)
            self._record_run_time(work, outcome, now)
            self.cost.note_report(slots, report.load, now)
            self.index.refresh(slots, now)
        woken = self._catch_up(now)
        return self._serve_targets([work.target, *woken], now)

    def withdraw(self, work_id: WorkId, now: Seconds) -> list[Decision]:
        """Drop a request whose caller no longer waits."""
        if work_id in self.running:
            return self.finish(work_id, RunReport(Outcome.CANCELLED), now)
        work = self.queue.by_id.get(work_id)
        if work is not None:
            self.queue.remove(work)
        return []

    def adopt(self, work: Work, target: TargetId) -> None:
        """Count a request that another scheduler sent."""
        self.at_targets.add(work, target)
        slots = self.targets.get(target)
        if slots:
            slots.running += 1
        self.index.is_stale = True

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
        self.index.targets = self.targets
        for record in records:
            slots = known.get(record.target)
            if slots is None or slots.record.life != record.life:
                if slots:
                    self.crash_attribution.note_target_end(slots.record.life)
                running = len(self.at_targets.at_target(record.target))
                slots = TargetSlots(record, self.limiter, running)
                self.times.forget(record.target)
            if slots.has_warmed_up(record):
                self.times.forget(record.target)
            slots.record = record
            self.targets[record.target] = slots
        self.cost.update(self.targets)
        self.limiter.forget_replaced(
            [slots.record.life for slots in self.targets.values()]
        )
        self.index.is_stale = True
        self.demands.keep(self.targets)

    def tick(self, now: Seconds) -> list[Decision]:
        """Dispatch waiting requests and refuse those that waited too long."""
        decisions: list[Decision] = []
        for running in tuple(self.running.values()):
            if now > running.expires_at + ABANDONED_AFTER_S:
                decisions += self.finish(
                    running.work_id, RunReport(Outcome.CANCELLED), now
                )
        self.index.is_stale = True
        decisions += self.dispatch(now)
        self.returns.forget_past(now)
        overdue = self.estimate.overdue(now)
        return decisions + self._refuse_waiting(overdue, now)

    def dispatch(self, now: Seconds) -> list[Decision]:
        """Send each waiting request for which a target has a free slot.

        To be called when the owner of keys has changed.
        """
        self._catch_up(now)
        decisions = self._serve_targets(self._lanes_with_room(), now)
        common = self.queue.lane(ANY_TARGET).works
        return decisions + self._serve(common, self.index.has_room, now)

    def _note_demand(
        self, work: Work, now: Seconds, *, is_returned: bool
    ) -> None:
        """Count a first comer, or give a returned caller its reserved room."""
        work.last_end_at = self.estimate.last_end_of(work)
        lane = self.queue.lane_of(work)
        if not is_returned:
            self.demands.add(lane, work.rank, work.cost, now)
        elif lane == ANY_TARGET and self.returns.take(work.rank, now):
            work.last_end_at = work.expires_at

    def _catch_up(self, now: Seconds) -> list[TargetId]:
        """Return the targets that may have got room other than by an event."""
        if self.queue.follow_owners() or self.index.is_stale:
            self.index.rebuild(now)
            return [*self._lanes_with_room(), ANY_TARGET]
        woken = self.index.woken(now)
        for target in woken:
            slots = self.targets.get(target)
            if slots:
                self.index.refresh(slots, now)
        return woken

    def _lanes_with_room(self) -> list[TargetId]:
        return [
            target
            for target in self.queue.lanes
            if target is not None and target in self.index.free
        ]

    def _serve_targets(
        self, targets: Iterable[TargetId], now: Seconds
    ) -> list[Decision]:
        """Send what waits for some targets, or for any target."""
        decisions: list[Decision] = []
        if not self.queue:
            return decisions
        for target in targets:
            slots = self.targets.get(target)
            if slots:
                works = self.queue.candidates(target)
                decisions += self._serve(works, slots.has_room, now)
            elif target == ANY_TARGET:
                common = self.queue.lane(ANY_TARGET).works
                decisions += self._serve(common, self.index.has_room, now)
        return decisions

    def _serve(
        self,
        works: Iterable[Work],
        has_room: Callable[[Seconds], bool],
        now: Seconds,
    ) -> list[Decision]:
        """Send waiting requests in their order while there is room."""
        decisions: list[Decision] = []
        for work in works:
            if not has_room(now):
                break
            target = self._choose(work, now)
            if target is not None:
                decisions.append(self._send(work, target, now))
        for decision in decisions:
            self.queue.remove(decision.work)
        return decisions

    def _refuse_waiting(
        self, works: Iterable[Work], now: Seconds
    ) -> list[Decision]:
        decisions: list[Decision] = []
        for work in works:
            self.queue.remove(work)
            decisions.append(self.refusals.queued(work, now))
        return decisions

    def _send(self, work: Work, target: TargetId, now: Seconds) -> Send:
        work.sent_at = now
        self.at_targets.add(work, target)
        slots = self.targets[target]
        slots.occupy(now)
        self.index.refresh_room(slots, now)
        self.cost.note_sent(work, target, now)
        return Send(work, target)

    def _choose(self, work: Work, now: Seconds) -> TargetId | None:
        if work.key is not None and self.placement:
            owner = self.placement.owner(work.key, now)
            slots = self.targets.get(owner) if owner else None
            return owner if slots and slots.has_room(now) else None
        return self.cost.choose(work, now)

    def _record_run_time(
        self, work: Work, outcome: Outcome, now: Seconds
    ) -> None:
        correction = self.cost.note_run(work, outcome, now)
        if correction and work.key is not None and self.placement:
            self.placement.note_work(work.key, correction, now)
