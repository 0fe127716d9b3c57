"""Runs requests at one target: its queue, its slots and its connections."""

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
from laburnumyard.core.routing import RoutingTable
from laburnumyard.daemon._http_responses import Response
from laburnumyard.daemon._job import Job

# Runs a job at the target; never raises but for cancellation.
Runner = Callable[[Job], 'asyncio.Future[Result[Response, Failure]]']

OUTCOMES = MappingProxyType(
    {
        ErrorKind.TARGET_SHED: requests.Outcome.SHED,
        # A key that moved says nothing of the target's load.
        ErrorKind.NOT_OWNER: requests.Outcome.CANCELLED,
        ErrorKind.NO_OWNER: requests.Outcome.CANCELLED,
        ErrorKind.TARGET_UNREACHABLE: requests.Outcome.UNREACHABLE,
        ErrorKind.QUARANTINED: requests.Outcome.CANCELLED,
    }
)


@dataclass(slots=True)
class _Waiting:
    """A job and what the queue last said of it.

    Parameters
    ----------
    job
        The job.
    is_due
        Whether the queue has decided.
    turn
        Set once the queue has decided, where the job has to wait for it.
    has_begun
        Whether it was sent, so that it may have run.
    failure
        What the caller is told, where the job was refused or cancelled.
    scope
        The run at the target, from the queue's word until its end.
    """

    job: Job
    is_due: bool = False
    turn: anyio.Event | None = None
    has_begun: bool = False
    failure: Failure | None = None
    scope: anyio.CancelScope | None = None

    def wake(self) -> None:
        """Let the job take the turn that the queue has decided on."""
        self.is_due = True
        if self.turn is not None:
            self.turn.set()

    async def wait_due(self) -> None:
        """Wait for the queue; most jobs are due at once."""
        if not self.is_due:
            self.turn = anyio.Event()
            await self.turn.wait()
        self.turn = None
        self.is_due = False


class Dispatcher:
    """Runs requests at one target as its queue decides.

    Parameters
    ----------
    queue
        The decisions.
    run_at_target
        Sends one job to the target and returns its answer.
    """

    def __init__(self, queue: requests.TargetQueue, run_at_target) -> None:
        """Start with no job."""
        self.queue = queue
        self.run_at_target = run_at_target
        self.waiting: dict[RequestId, _Waiting] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def run(self, job: Job) -> Result[Response, Failure]:
        """Queue a job, run it in its turn and return the answer.

        Cancelling this call tells the queue that the caller is gone and
        closes the connection on which the job runs.
        """
        if job.request_id in self.waiting:
            detail = f'request id {job.request_id} is in use; retry'
            return Error(Failure(ErrorKind.OVERLOADED, detail))
        waiting = _Waiting(job)
        self.waiting[job.request_id] = waiting
        try:
            return await self._take_turns(waiting)
        finally:
            self._forget(waiting)

    def feed(self, event: requests.Event) -> None:
        """Hand an event to the queue and carry out its effects."""
        for effect in self.queue.handle(event, boot_time()):
            CARRY_OUT.dispatch(type(effect))(self, effect)

    def release(self, target: TargetName, table: RoutingTable) -> None:
        """Give back the jobs whose key the target no longer owns.

        A job that waits has not run. One that runs is given back only if it
        may run again.
        """
        for waiting in tuple(self.waiting.values()):
            if table.owner(waiting.job.key_hash) == target:
                continue
            if waiting.scope is not None:
                self._release_running(waiting)
            elif not waiting.is_due:
                self._release_waiting(waiting)

    def _release_waiting(self, waiting: _Waiting) -> None:
        self.feed(requests.CallerGone(waiting.job.request_id))
        waiting.failure = _moved(waiting)
        waiting.wake()

    def _release_running(self, waiting: _Waiting) -> None:
        if waiting.job.repeatable or not waiting.has_begun:
            waiting.failure = _moved(waiting)
            waiting.scope.cancel()

    async def _take_turns(
        self,
        waiting: _Waiting,
    ) -> Result[Response, Failure]:
        self.feed(requests.Arrive(_queue_request(waiting.job)))
        while True:
            await waiting.wait_due()
            if waiting.scope is None:
                return Error(waiting.failure)
            answer = await self._send(waiting)
            if answer is not None:
                return answer

    async def _send(
        self,
        waiting: _Waiting,
    ) -> Result[Response, Failure] | None:
        """Send a job; return None where it was preempted and waits again."""
        answer = None
        # What was cancelled between its turn and now need not be sent.
        if not waiting.scope.cancel_called:
            waiting.has_begun = True
            with waiting.scope:
                answer = await self.run_at_target(waiting.job)
        waiting.scope = None
        self.feed(requests.Finished(waiting.job.request_id, _outcome(answer)))
        if answer is None and waiting.failure is not None:
            return Error(waiting.failure)
        return answer

    def _forget(self, waiting: _Waiting) -> None:
        """Tell the queue that nobody waits for a job that it still holds."""
        request_id = waiting.job.request_id
        self.waiting.pop(request_id, None)
        if request_id in self.queue.entries:
            self.feed(requests.CallerGone(request_id))
        if request_id in self.queue.running:
            outcome = requests.Outcome.CANCELLED
            self.feed(requests.Finished(request_id, outcome))

    @singledispatchmethod
    def carry_out(self, effect: requests.Effect) -> None:
        """Carry out one effect of the queue."""
        raise TypeError(f'no way to carry out {effect!r}; register one')

    @carry_out.register
    def _send_now(self, effect: requests.Send) -> None:
        waiting = self.waiting[effect.request_id]
        # Made here, so that a cancellation before the send is not lost.
        waiting.scope = anyio.CancelScope()
        waiting.wake()

    @carry_out.register
    def _refuse(self, effect: requests.Refuse) -> None:
        waiting = self.waiting.get(effect.request_id)
        if waiting is None:
            return
        waiting.failure = effect.failure
        waiting.wake()

    @carry_out.register
    def _cancel(self, effect: requests.CancelRunning) -> None:
        waiting = self.waiting.get(effect.request_id)
        if waiting is not None and waiting.scope is not None:
            waiting.failure = effect.failure
            waiting.scope.cancel()

    @carry_out.register
    def _preempt(self, effect: requests.Preempt) -> None:
        waiting = self.waiting.get(effect.request_id)
        if waiting is not None and waiting.scope is not None:
            waiting.scope.cancel()

    @carry_out.register
    def _wake_at(self, effect: requests.WakeAt) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay = max(Seconds(0), effect.time - boot_time())
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay, self.feed, requests.Tick())


# A singledispatchmethod makes a new function for each call.
CARRY_OUT = Dispatcher.__dict__['carry_out'].dispatcher


def _moved(waiting: _Waiting) -> Failure:
    if waiting.has_begun:
        return Failure(ErrorKind.TARGET_BROKE_OFF, 'the key moved meanwhile')
    return Failure(ErrorKind.NOT_OWNER, 'the key moved')


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
