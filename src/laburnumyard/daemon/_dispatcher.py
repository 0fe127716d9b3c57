"""Runs requests at one target through its queue and slots."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from types import MappingProxyType

import anyio
from expression import Error, Result

from laburnumyard.clocks import boot_time
from laburnumyard.core import requests
from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.ids import RequestId, Seconds, TargetName
from laburnumyard.core.routing_table import RoutingTable
from laburnumyard.daemon._http_responses import Response
from laburnumyard.daemon._job import Job

# Runs a job at the target; raises nothing but cancellation.
Runner = Callable[[Job], 'asyncio.Future[Result[Response, Failure]]']

OUTCOMES = MappingProxyType(
    {
        ErrorKind.TARGET_SHED: requests.Outcome.SHED,
        # A moved key is no sign of the target's load.
        ErrorKind.NOT_OWNER: requests.Outcome.CANCELLED,
        ErrorKind.NO_OWNER: requests.Outcome.CANCELLED,
        ErrorKind.TARGET_UNREACHABLE: requests.Outcome.UNREACHABLE,
        ErrorKind.QUARANTINED: requests.Outcome.CANCELLED,
    }
)


@dataclass(slots=True)
class _PendingJob:
    """A job and the queue's latest decision about it.

    Parameters
    ----------
    job
        The job.
    is_decided
        Whether the queue has decided.
    decision_event
        Set once the queue has decided; None unless the job waits.
    was_sent
        Whether the job was sent and so may have run.
    failure
        The failure to return where the job was refused or cancelled.
    scope
        Cancel scope of the run, from the queue's decision until its end.
    """

    job: Job
    is_decided: bool = False
    decision_event: anyio.Event | None = None
    was_sent: bool = False
    failure: Failure | None = None
    scope: anyio.CancelScope | None = None

    def notify(self) -> None:
        """Wake the job after a decision of the queue."""
        self.is_decided = True
        if self.decision_event is not None:
            self.decision_event.set()

    async def wait_decision(self) -> None:
        """Wait for the queue's decision; mostly it is immediate."""
        if not self.is_decided:
            self.decision_event = anyio.Event()
            await self.decision_event.wait()
        self.decision_event = None
        self.is_decided = False


class Dispatcher:
    """Runs requests at one target in the order its queue decides.

    Parameters
    ----------
    queue
        Decides which job runs when.
    run_at_target
        Sends one job to the target and returns its answer.
    """

    def __init__(self, queue: requests.TargetQueue, run_at_target) -> None:
        """Initialise with no job."""
        self.queue = queue
        self.run_at_target = run_at_target
        self.pending: dict[RequestId, _PendingJob] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def run(self, job: Job) -> Result[Response, Failure]:
        """Queue a job, run it when scheduled and return the answer.

        Cancelling this call tells the queue that the caller disconnected and
        closes the connection on which the job runs.
        """
        if job.request_id in self.pending:
            detail = f'request id {job.request_id} is already in use; retry'
            return Error(Failure(ErrorKind.OVERLOADED, detail))
        pending = _PendingJob(job)
        self.pending[job.request_id] = pending
        try:
            return await self._run_when_scheduled(pending)
        finally:
            self._forget(pending)

    def feed(self, event: requests.Event) -> None:
        """Pass an event to the queue and execute its effects."""
        for effect in self.queue.handle(event, boot_time()):
            CARRY_OUT.dispatch(type(effect))(self, effect)

    def release(self, target: TargetName, table: RoutingTable) -> None:
        """Release the jobs whose key the target no longer owns.

        A queued job has not run. A running job is released only if it may run
        again.
        """
        for pending in tuple(self.pending.values()):
            if table.owner(pending.job.key_hash) == target:
                continue
            if pending.scope is not None:
                self._release_running(pending)
            elif not pending.is_decided:
                self._release_waiting(pending)

    def _release_waiting(self, pending: _PendingJob) -> None:
        self.feed(requests.CallerDisconnected(pending.job.request_id))
        pending.failure = _moved_failure(pending)
        pending.notify()

    def _release_running(self, pending: _PendingJob) -> None:
        if pending.job.repeatable or not pending.was_sent:
            pending.failure = _moved_failure(pending)
            pending.scope.cancel()

    async def _run_when_scheduled(
        self,
        pending: _PendingJob,
    ) -> Result[Response, Failure]:
        self.feed(requests.Arrive(_queue_request(pending.job)))
        while True:
            await pending.wait_decision()
            if pending.scope is None:
                return Error(pending.failure)
            answer = await self._send(pending)
            if answer is not None:
                return answer

    async def _send(
        self,
        pending: _PendingJob,
    ) -> Result[Response, Failure] | None:
        """Send a job; return None if it was preempted and queued again."""
        answer = None
        # A job cancelled since the queue's decision need not be sent.
        if not pending.scope.cancel_called:
            pending.was_sent = True
            with pending.scope:
                answer = await self.run_at_target(pending.job)
        pending.scope = None
        self.feed(requests.Finished(pending.job.request_id, _outcome(answer)))
        if answer is None and pending.failure is not None:
            return Error(pending.failure)
        return answer

    def _forget(self, pending: _PendingJob) -> None:
        """Remove a job that no caller waits for from the queue."""
        request_id = pending.job.request_id
        self.pending.pop(request_id, None)
        if request_id in self.queue.entries:
            self.feed(requests.CallerDisconnected(request_id))
        if request_id in self.queue.running:
            outcome = requests.Outcome.CANCELLED
            self.feed(requests.Finished(request_id, outcome))

    @singledispatchmethod
    def carry_out(self, effect: requests.Effect) -> None:
        """Execute one effect of the queue."""
        raise TypeError(f'no handler for effect {effect!r}; register one')

    @carry_out.register
    def _send_now(self, effect: requests.Send) -> None:
        pending = self.pending[effect.request_id]
        # Created here so that a cancellation before the send is not lost.
        pending.scope = anyio.CancelScope()
        pending.notify()

    @carry_out.register
    def _refuse(self, effect: requests.Refuse) -> None:
        pending = self.pending.get(effect.request_id)
        if pending is None:
            return
        pending.failure = effect.failure
        pending.notify()

    @carry_out.register
    def _cancel(self, effect: requests.CancelRunning) -> None:
        pending = self.pending.get(effect.request_id)
        if pending is not None and pending.scope is not None:
            pending.failure = effect.failure
            pending.scope.cancel()

    @carry_out.register
    def _preempt(self, effect: requests.Preempt) -> None:
        pending = self.pending.get(effect.request_id)
        if pending is not None and pending.scope is not None:
            pending.scope.cancel()

    @carry_out.register
    def _wake_at(self, effect: requests.WakeAt) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay = max(Seconds(0), effect.time - boot_time())
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay, self.feed, requests.Tick())


# Avoids the new function that singledispatchmethod creates on each access.
CARRY_OUT = Dispatcher.__dict__['carry_out'].dispatcher


def _moved_failure(pending: _PendingJob) -> Failure:
    if pending.was_sent:
        return Failure(
            ErrorKind.TARGET_BROKE_OFF,
            'the key moved after the request was sent',
        )
    return Failure(
        ErrorKind.NOT_OWNER, 'the key moved before the request was sent'
    )


def _queue_request(job: Job) -> requests.Request:
    return requests.Request(
        job.request_id,
        job.customer,
        job.operation,
        job.deadline,
        job.repeatable,
    )


def _outcome(answer: Result[Response, Failure] | None) -> requests.Outcome:
    if answer is None:
        return requests.Outcome.CANCELLED
    if answer.is_ok():
        return requests.Outcome.ANSWERED
    return OUTCOMES.get(answer.error.kind, requests.Outcome.BROKEN_OFF)
