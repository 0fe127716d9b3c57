"""The queue of one target at its dispatcher."""

from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.ids import RequestId, Seconds
from laburnumyard.core.requests._admission import Admission
from laburnumyard.core.requests._concurrency_limit import Throttle
from laburnumyard.core.requests._deadlines import Deadlines
from laburnumyard.core.requests._effects import (
    CancelRunning,
    Effect,
    Preempt,
    Refuse,
    Send,
    WakeAt,
)
from laburnumyard.core.requests._entries import Entry, State
from laburnumyard.core.requests._event_handlers import apply
from laburnumyard.core.requests._events import Drain, Event
from laburnumyard.core.requests._fair_queueing import Flows, Turn
from laburnumyard.core.requests._preemption import next_straggler, victims
from laburnumyard.core.requests._run_times import OperationTimes
from laburnumyard.core.requests._settings import QueueSettings

DEADLINE_KINDS = frozenset(
    (ErrorKind.DEADLINE_TOO_SHORT, ErrorKind.DEADLINE_BEFORE_START),
)


class TargetQueue:
    """Decides which requests run at a target, when, and which never will.

    Parameters
    ----------
    settings
        The target, its service, the priority classes and paid shares.
    times
        The run times of the service's operations; all queues of a daemon
        for one service share them.
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
        """Start with nothing waiting or running."""
        target = settings.target
        self.settings = settings
        self.times = times
        self.admission = Admission(times)
        self.throttle = Throttle(
            target.slots,
            target.connections,
            is_cold=is_cold,
        )
        self.flows = Flows(settings, target.slots)
        self.deadlines = Deadlines()
        self.entries: dict[RequestId, Entry] = {}
        self.running: dict[RequestId, Entry] = {}
        self.arrivals = 0
        self.draining: Drain | None = None
        self.armed: Seconds | None = None
        self.effects: list[Effect] = []

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits or runs."""
        return not self.entries

    def handle(self, event: Event, now: Seconds) -> list[Effect]:
        """Take in one event.

        Parameters
        ----------
        event
            What happened.
        now
            The time, in seconds of a clock that never goes back.

        Returns
        -------
        list of Effect
            What the shell has to do, in this order.

        Raises
        ------
        ValueError
            If a request arrives under an id that the queue still holds.
        """
        self.effects = []
        apply(event, self, now)
        self._expire(now)
        self._dispatch(now)
        self.deadlines.compact(len(self.entries))
        self._wake_at(self.deadlines.next_due())
        return self.effects

    def refuse(self, entry: Entry, failure: Failure) -> None:
        """Refuse a waiting request.

        A request that was preempted has been at the target, so that it is
        never told that it did not run.
        """
        if entry.preemptions:
            failure = Failure(_after_start(failure.kind), failure.detail)
        self.drop(entry)
        self.effects.append(Refuse(entry.request.request_id, failure))

    def restore(self, entry: Entry) -> None:
        """Let a preempted request wait again, unless the target leaves."""
        self.flows.restore(entry)
        if self.draining is not None and not self.draining.serve_waiting:
            self.refuse(entry, Failure(self.draining.kind))

    def drop(self, entry: Entry) -> None:
        """Forget a waiting request."""
        self.flows.remove(entry, State.DONE)
        self.entries.pop(entry.request.request_id)

    def cancel(self, entry: Entry, failure: Failure | None) -> None:
        """Stop a running request."""
        entry.state = State.CANCELLING
        self.effects.append(CancelRunning(entry.request.request_id, failure))

    def expected_wait(self, entry: Entry, now: Seconds) -> Seconds:
        """Estimate how long a request that has just arrived will wait."""
        limit = self.throttle.limit(now)
        if len(self.running) < limit and not self.flows.waiting:
            return Seconds(0)
        flow = entry.flow
        if flow.is_within_share(now):
            ahead = self.flows.entitled_waiting(now, is_long_allowed=True)
        else:
            turns = (flow.waiting + 1) * len(self.flows.active)
            ahead = min(self.flows.waiting, turns)
        return Seconds((ahead + 1) * self.times.mean() / max(limit, 1))

    def _expire(self, now: Seconds) -> None:
        entry = self.deadlines.pop_due(now)
        while entry is not None:
            if entry.state is State.WAITING:
                self.refuse(entry, Failure(ErrorKind.DEADLINE_BEFORE_START))
            else:
                self.cancel(entry, Failure(ErrorKind.DEADLINE_AFTER_START))
            entry = self.deadlines.pop_due(now)

    def _dispatch(self, now: Seconds) -> None:
        limit = self.throttle.limit(now)
        while len(self.running) < limit and self.flows.has_waiting:
            turn = self.flows.next_turn(
                now,
                is_long_allowed=self._is_long_allowed(limit),
                is_deferred_allowed=len(self.running) < max(limit - 1, 1),
            )
            if turn is None:
                break
            self._start(turn, now)
        if limit and self.flows.waiting:
            self._reclaim(limit, now)
        elif self.entries and now < self.throttle.paused_until:
            self._wake_at(self.throttle.paused_until)

    def _start(self, turn: Turn, now: Seconds) -> None:
        entry = turn.entry
        request = entry.request
        failure = self.admission.refusal(entry, Seconds(0), now)
        if failure is not None:
            self.refuse(entry, failure)
            return
        expected = self.times.typical(request.operation) or self.times.mean()
        self.flows.start(turn, expected, now)
        self.running[request.request_id] = entry
        self.effects.append(Send(request.request_id))

    def _is_long_allowed(self, limit: int) -> bool:
        most = max(limit - 1, 1)
        # Where few run at all, none need be counted.
        return len(self.running) < most or (
            sum(entry.is_long for entry in self.running.values()) < most
        )

    def _reclaim(self, limit: int, now: Seconds) -> None:
        is_long_allowed = self._is_long_allowed(limit)
        wanted = self.flows.entitled_waiting(now, is_long_allowed)
        if not wanted:
            return
        running = self.running.values()
        for entry in victims(running, wanted, self.times, now):
            entry.state = State.PREEMPTING
            entry.preemptions += 1
            self.effects.append(Preempt(entry.request.request_id))
        self._wake_at(next_straggler(running, self.times, now))

    def _wake_at(self, due: Seconds | None) -> None:
        if due is not None and (self.armed is None or due < self.armed):
            self.armed = due
            self.effects.append(WakeAt(due))


def _after_start(kind: ErrorKind) -> ErrorKind:
    if kind in DEADLINE_KINDS:
        return ErrorKind.DEADLINE_AFTER_START
    return ErrorKind.TARGET_BROKE_OFF
