"""Passes slot requests to a scheduler and its decisions to requesters."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import singledispatchmethod
from itertools import count

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import (
    AttemptId,
    DaemonName,
    DataCentre,
    RouteName,
    Seconds,
    ServiceName,
    ShardKey,
    TargetId,
)
from laburnumyard.core.scheduling import (
    OWN_SENDER,
    Decision,
    Refusal,
    Refuse,
    RunReport,
    Scheduler,
    Send,
    Work,
    WorkId,
)
from laburnumyard.core.target_directory import TargetRecord
from laburnumyard.telemetry import METRICS, Event, log_decision


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for a concurrency slot at a target.

    Parameters
    ----------
    service, route, attempt_id, rank, key, data_centre
        Copied from the caller's request.
    due_in_s
        Time left until the route's latency objective, in seconds.
    expires_in_s
        Time left until the response is useless, in seconds.
    is_returned
        Whether the caller retries after an earlier refusal.
    excluded
        Targets that were already tried.
    fingerprint
        Hash that is equal for requests with the same content.
    sends
        Number of targets the request was already sent to.
    sender
        Gateway that will send it; empty for this one.
    cost_class
        What the request shows of its cost; 0 if nothing is known.
    waited_s
        How long this send has waited for a slot, also at an earlier
        coordinator, in seconds.
    """

    service: ServiceName
    route: RouteName
    attempt_id: AttemptId
    rank: int
    key: ShardKey | None
    data_centre: DataCentre
    due_in_s: Seconds
    expires_in_s: Seconds
    is_returned: bool = False
    excluded: frozenset[TargetId] = frozenset()
    fingerprint: bytes = b''
    sends: int = 0
    sender: DaemonName = OWN_SENDER
    cost_class: int = 0
    waited_s: float = 0


@dataclass(frozen=True, slots=True)
class SlotGranted:
    """A granted slot, held until it is released.

    Parameters
    ----------
    record
        The target.
    waited_s
        How long the request waited for it, in seconds.
    is_for_cold
        Whether the request was counted against the rate of a cold target.
    """

    record: TargetRecord
    waited_s: float = 0
    is_for_cold: bool = False


@dataclass(frozen=True, slots=True)
class SlotRefused:
    """A refused slot request.

    Parameters
    ----------
    reason
        Cause of the refusal.
    retry_after_s
        Expected time until a slot is free, in seconds.
    """

    reason: Refusal
    retry_after_s: Seconds


SlotAnswer = SlotGranted | SlotRefused
ReplyCallback = Callable[[SlotAnswer], None]


class SlotDispatcher:
    """The scheduler of one service and the callbacks of waiting requests.

    Parameters
    ----------
    service
        Name of the service.
    scheduler
        Decides which request gets a slot of which target.
    """

    def __init__(self, service: ServiceName, scheduler: Scheduler) -> None:
        """Create a dispatcher without requests."""
        self.service = service
        self.scheduler = scheduler
        self.replies: dict[WorkId, ReplyCallback] = {}
        self.work_ids = count(1)
        # Bound once: each access to a singledispatchmethod builds a wrapper,
        # which costs several microseconds a decision.
        self.slot_answer = self.slot_answer

    def submit(self, slot_request: SlotRequest, reply: ReplyCallback) -> WorkId:
        """Submit a request; ``reply`` is called once, now or later."""
        now = boot_time()
        work = Work(
            WorkId(next(self.work_ids)),
            slot_request.attempt_id,
            slot_request.route,
            slot_request.rank,
            slot_request.key,
            slot_request.data_centre,
            Seconds(now - slot_request.waited_s),
            Seconds(now + slot_request.due_in_s),
            Seconds(now + slot_request.expires_in_s),
            slot_request.excluded,
            slot_request.fingerprint,
            slot_request.sends,
            slot_request.sender,
            slot_request.cost_class,
        )
        work.submitted_at = now
        self.replies[work.work_id] = reply
        returned = slot_request.is_returned
        self.deliver(self.scheduler.submit(work, now, is_returned=returned))
        return work.work_id

    def finish(self, work_id: WorkId, report: RunReport) -> None:
        """Release the slot of a finished request."""
        work = self.scheduler.running.get(work_id)
        if report.load is not None and work and work.target:
            reported = self.scheduler.times.reported
            METRICS.count(
                'load_reports_total',
                service=self.service,
                state='used'
                if reported.is_trusted(work.target)
                else 'rejected',
            )
        self.deliver(self.scheduler.finish(work_id, report, boot_time()))

    def withdraw(self, work_id: WorkId) -> None:
        """Drop a request that is no longer waited for."""
        self.replies.pop(work_id, None)
        self.deliver(self.scheduler.withdraw(work_id, boot_time()))

    def update(self, records: Iterable[TargetRecord]) -> None:
        """Replace the target records."""
        self.scheduler.update_targets(records)
        self.tick()

    def tick(self) -> None:
        """Apply the decisions that the current time brings."""
        self.deliver(self.scheduler.tick(boot_time()))

    def dispatch(self) -> None:
        """Grant the slots that are free now."""
        self.deliver(self.scheduler.dispatch(boot_time()))

    def close(self) -> None:
        """Refuse all waiting requests; another coordinator takes over."""
        for reply in tuple(self.replies.values()):
            reply(SlotRefused(Refusal.NOT_COORDINATOR, Seconds(0)))
        self.replies.clear()

    def deliver(self, decisions: Iterable[Decision]) -> None:
        """Call the reply callback of each decision."""
        for decision in decisions:
            reply = self.replies.pop(decision.work.work_id, None)
            if reply is not None:
                reply(self.slot_answer(decision))

    @singledispatchmethod
    def slot_answer(self, decision: Decision) -> SlotAnswer:
        """Return a decision in the form that requesters get."""
        raise TypeError(
            f'unsupported decision {decision!r}; expected Send or Refuse'
        )

    @slot_answer.register
    def _(self, decision: Send) -> SlotAnswer:
        slots = self.scheduler.targets[decision.target]
        rate = slots.rate(boot_time())
        work = decision.work
        log_decision(
            Event.PLACED,
            request=work.attempt_id,
            service=self.service,
            target=decision.target,
            key=work.key,
            running=slots.running,
            waiting=len(self.scheduler.queue),
            waited_ms=round((work.sent_at - work.arrived_at) * 1000),
            cost_ms=round(work.cost * 1000),
            remaining_ms=round(
                self.scheduler.cost.remaining.at(decision.target, work.sent_at)
                * 1000
            ),
            pace=round(work.pace, 2),
            reported=self.scheduler.times.reported.slowdown(decision.target),
            limit=rate.per_second if rate else 'none',
        )
        return SlotGranted(
            slots.record,
            work.sent_at - work.submitted_at,
            slots.record.is_cold(Seconds(work.sent_at)),
        )

    @slot_answer.register
    def _(self, decision: Refuse) -> SlotAnswer:
        work = decision.work
        METRICS.count(
            'refusals_total',
            service=self.service,
            reason=decision.reason.value,
        )
        log_decision(
            Event.REFUSED,
            request=work.attempt_id,
            service=self.service,
            reason=decision.reason,
            key=work.key,
            waiting=len(self.scheduler.queue),
            targets=len(self.scheduler.targets),
            retry_after_ms=round(decision.retry_after_s * 1000),
        )
        return SlotRefused(decision.reason, decision.retry_after_s)
