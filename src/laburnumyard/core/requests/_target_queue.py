"""Request queue of one target at its dispatcher."""

from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.ids import RequestId, Seconds
from laburnumyard.core.requests._admission import Admission
from laburnumyard.core.requests._concurrency_limit import ConcurrencyLimiter
from laburnumyard.core.requests._deadlines import Deadlines
from laburnumyard.core.requests._effects import (
    CancelRunning,
    Effect,
    Preempt,
    Refuse,
    Send,
    WakeAt,
)
from laburnumyard.core.requests._entries import QueueEntry, RequestState
from laburnumyard.core.requests._event_handlers import apply
from laburnumyard.core.requests._events import Drain, Event
from laburnumyard.core.requests._fair_queueing import Flows, Selection
from laburnumyard.core.requests._preemption import (
    next_straggler_at,
    select_preempted,
)
from laburnumyard.core.requests._run_times import OperationTimes
from laburnumyard.core.requests._settings import QueueSettings

DEADLINE_KINDS = frozenset(
    (ErrorKind.DEADLINE_TOO_SHORT, ErrorKind.DEADLINE_BEFORE_START),
)


class TargetQueue:
    """Decides which requests run at a target and when, and refuses the rest.

    Parameters
    ----------
    settings
        The target, its service, the priority classes and paid shares.
    times
        The run times of the service's operations, shared by all queues of a
        daemon for one service.
    is_cold
        Whether the target was just started.
    """

    def __init__(
        self,
        settings: QueueSettings,
        times: OperationTimes,
        *,
        is_cold: bool = False,
    ) -> None:
        """Create an empty queue."""
        target = settings.target
        self.settings = settings
        self.times = times
        self.admission = Admission(times)
        self.concurrency_limiter = ConcurrencyLimiter(
            target.slots,
            target.connections,
            is_cold=is_cold,
        )
        self.flows = Flows(settings, target.slots)
        self.deadlines = Deadlines()
        self.entries: dict[RequestId, QueueEntry] = {}
        self.running: dict[RequestId, QueueEntry] = {}
        self.arrivals = 0
        self.draining: Drain | None = None
        self.next_wake: Seconds | None = None
        self.effects: list[Effect] = []

    @property
    def is_idle(self) -> bool:
        """Whether no request waits or runs."""
        return not self.entries

    def handle(self, event: Event, now: Seconds) -> list[Effect]:
        """Handle one event.

        Parameters
        ----------
        event
            The event.
        now
            The current time of a monotonic clock, in seconds.

        Returns
        -------
        list of Effect
            The actions that the dispatcher has to take, in this order.

        Raises
        ------
        ValueError
            If a request arrives with an id that is still in the queue.
        """
        self.effects = []
        apply(event, self, now)
        self._expire(now)
        self._dispatch(now)
        self.deadlines.compact(len(self.entries))
        self._wake_at(self.deadlines.next_due())
        return self.effects

    def refuse(self, entry: QueueEntry, failure: Failure) -> None:
        """Refuse a waiting request.

        A preempted request has been sent to the target, so its caller is
        never told that it did not run.
        """
        if entry.preemptions:
            failure = Failure(_after_start(failure.kind), failure.detail)
        self.drop(entry)
        self.effects.append(Refuse(entry.request.request_id, failure))

    def restore(self, entry: QueueEntry) -> None:
        """Requeue a preempted request, unless the target is leaving."""
        self.flows.restore(entry)
        if self.draining is not None and not self.draining.serve_waiting:
            self.refuse(entry, Failure(self.draining.kind))

    def drop(self, entry: QueueEntry) -> None:
        """Remove a waiting request from the queue."""
        self.flows.remove(entry, RequestState.DONE)
        self.entries.pop(entry.request.request_id)

    def cancel(self, entry: QueueEntry, failure: Failure | None) -> None:
        """Stop a running request."""
        entry.state = RequestState.CANCELLING
        self.effects.append(CancelRunning(entry.request.request_id, failure))

    def expected_wait(self, entry: QueueEntry, now: Seconds) -> Seconds:
        """Estimate the queueing time of a newly arrived request, in seconds."""
        limit = self.concurrency_limiter.limit(now)
        if len(self.running) < limit and not self.flows.waiting:
            return Seconds(0)
        flow = entry.flow
        if flow.is_within_share(now):
            ahead = self.flows.entitled_waiting(now, is_long_allowed=True)
        else:
            round_robin_position = (flow.waiting + 1) * len(
                self.flows.active_flows
            )
            ahead = min(self.flows.waiting, round_robin_position)
        return Seconds((ahead + 1) * self.times.mean() / max(limit, 1))

    def _expire(self, now: Seconds) -> None:
        entry = self.deadlines.pop_due(now)
        while entry is not None:
            if entry.state is RequestState.WAITING:
                self.refuse(entry, Failure(ErrorKind.DEADLINE_BEFORE_START))
            else:
                self.cancel(entry, Failure(ErrorKind.DEADLINE_AFTER_START))
            entry = self.deadlines.pop_due(now)

    def _dispatch(self, now: Seconds) -> None:
        limit = self.concurrency_limiter.limit(now)
        while len(self.running) < limit and self.flows.has_waiting:
            selection = self.flows.select_next(
                now,
                is_long_allowed=self._is_long_allowed(limit),
                is_deferred_allowed=len(self.running) < max(limit - 1, 1),
            )
            if selection is None:
                break
            self._start(selection, now)
        if limit and self.flows.waiting:
            self._reclaim(limit, now)
        elif self.entries and now < self.concurrency_limiter.paused_until:
            self._wake_at(self.concurrency_limiter.paused_until)

    def _start(self, selection: Selection, now: Seconds) -> None:
        entry = selection.entry
        request = entry.request
        failure = self.admission.refusal(entry, Seconds(0), now)
        if failure is not None:
            self.refuse(entry, failure)
            return
        charged_run_time = (
            self.times.median_run_time(request.operation) or self.times.mean()
        )
        self.flows.start(selection, charged_run_time, now)
        self.running[request.request_id] = entry
        self.effects.append(Send(request.request_id))

    def _is_long_allowed(self, limit: int) -> bool:
        long_limit = max(limit - 1, 1)
        # With few runs in total, the long ones need not be counted.
        return len(self.running) < long_limit or (
            sum(entry.is_long for entry in self.running.values()) < long_limit
        )

    def _reclaim(self, limit: int, now: Seconds) -> None:
        is_long_allowed = self._is_long_allowed(limit)
        wanted = self.flows.entitled_waiting(now, is_long_allowed)
        if not wanted:
            return
        running = self.running.values()
        for entry in select_preempted(running, wanted, self.times, now):
            entry.state = RequestState.PREEMPTING
            entry.preemptions += 1
            self.effects.append(Preempt(entry.request.request_id))
        self._wake_at(next_straggler_at(running, self.times, now))

    def _wake_at(self, due: Seconds | None) -> None:
        if due is not None and (self.next_wake is None or due < self.next_wake):
            self.next_wake = due
            self.effects.append(WakeAt(due))


def _after_start(kind: ErrorKind) -> ErrorKind:
    if kind in DEADLINE_KINDS:
        return ErrorKind.DEADLINE_AFTER_START
    return ErrorKind.TARGET_BROKE_OFF
