"""Feeds one service's scheduler and carries its decisions to who asked."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import singledispatchmethod
from itertools import count

from laburnumyard.clocks import boot_time
from laburnumyard.core.directory import TargetRecord
from laburnumyard.core.ids import (
    AttemptId,
    DataCentre,
    RouteName,
    Seconds,
    ServiceName,
    ShardKey,
    TargetId,
)
from laburnumyard.core.scheduling import (
    Decision,
    Outcome,
    Refusal,
    Refuse,
    Scheduler,
    Send,
    Work,
    WorkId,
)
from laburnumyard.telemetry import METRICS, Event, log_decision


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request that needs a slot of a target.

    Parameters
    ----------
    service, route, attempt_id, rank, key, data_centre
        As of the request.
    due_in_s
        How long its answer has the full value, in seconds.
    expires_in_s
        How long its answer is of any use, in seconds.
    is_returned
        Whether its caller was refused before.
    excluded
        Targets that have had it already.
    fingerprint
        Equal for requests with the same content.
    sends
        How many targets it has reached already.
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


@dataclass(frozen=True, slots=True)
class SlotGranted:
    """A slot of a target, held until it is given back."""

    record: TargetRecord


@dataclass(frozen=True, slots=True)
class SlotRefused:
    """No slot.

    Parameters
    ----------
    reason
        Why.
    retry_after_s
        When room is expected, in seconds.
    """

    reason: Refusal
    retry_after_s: Seconds


SlotAnswer = SlotGranted | SlotRefused
ReplyCallback = Callable[[SlotAnswer], None]


class SlotDispatcher:
    """The scheduler of one service, and who waits for its decisions.

    Parameters
    ----------
    service
        The service.
    scheduler
        Decides.
    """

    def __init__(self, service: ServiceName, scheduler: Scheduler) -> None:
        """Start without requests."""
        self.service = service
        self.scheduler = scheduler
        self.replies: dict[WorkId, ReplyCallback] = {}
        self.work_ids = count(1)

    def submit(self, slot_request: SlotRequest, reply: ReplyCallback) -> WorkId:
        """Take a request; the reply is called once, at once or later."""
        now = boot_time()
        work = Work(
            WorkId(next(self.work_ids)),
            slot_request.attempt_id,
            slot_request.route,
            slot_request.rank,
            slot_request.key,
            slot_request.data_centre,
            now,
            Seconds(now + slot_request.due_in_s),
            Seconds(now + slot_request.expires_in_s),
            slot_request.excluded,
            slot_request.fingerprint,
            slot_request.sends,
        )
        self.replies[work.work_id] = reply
        returned = slot_request.is_returned
        self.deliver(self.scheduler.submit(work, now, is_returned=returned))
        return work.work_id

    def finish(self, work_id: WorkId, outcome: Outcome) -> None:
        """Give back the slot of a request."""
        decisions = self.scheduler.finish(work_id, outcome, boot_time())
        self.deliver(decisions)

    def withdraw(self, work_id: WorkId) -> None:
        """Drop a request that nobody waits for."""
        self.replies.pop(work_id, None)
        self.deliver(self.scheduler.withdraw(work_id, boot_time()))

    def update(self, records: Iterable[TargetRecord]) -> None:
        """Take the newest records of the targets."""
        self.scheduler.update_targets(records)
        self.tick()

    def tick(self) -> None:
        """Let time pass."""
        self.deliver(self.scheduler.tick(boot_time()))

    def dispatch(self) -> None:
        """Send what can be sent now."""
        self.deliver(self.scheduler.dispatch(boot_time()))

    def close(self) -> None:
        """Refuse everyone who waits; another coordinator takes over."""
        for reply in tuple(self.replies.values()):
            reply(SlotRefused(Refusal.NOT_COORDINATOR, Seconds(0)))
        self.replies.clear()

    def deliver(self, decisions: Iterable[Decision]) -> None:
        """Tell who waits what was decided."""
        for decision in decisions:
            reply = self.replies.pop(decision.work.work_id, None)
            if reply is not None:
                reply(self.slot_answer(decision))

    @singledispatchmethod
    def slot_answer(self, decision: Decision) -> SlotAnswer:
        """Return what the one who waits has to know."""
        raise TypeError(f'{decision!r} is no decision of a scheduler')

    @slot_answer.register
    def _(self, decision: Send) -> SlotAnswer:
        slots = self.scheduler.targets[decision.target]
        work = decision.work
        log_decision(
            Event.PLACED,
            request=work.attempt_id,
            service=self.service,
            target=decision.target,
            key=work.key,
            running=slots.running,
            waiting=len(self.scheduler.waiting),
            waited_ms=round((work.sent_at - work.arrived_at) * 1000),
            pace=round(self.scheduler.times.pace(decision.target), 2),
        )
        return SlotGranted(slots.record)

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
            waiting=len(self.scheduler.waiting),
            targets=len(self.scheduler.targets),
            retry_after_ms=round(decision.retry_after_s * 1000),
        )
        return SlotRefused(decision.reason, decision.retry_after_s)
