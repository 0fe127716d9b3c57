"""Routes a job to the dispatcher of its key's owner, with retries."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import MappingProxyType

import anyio
from expression import Error, Result

from laburnumyard.clocks import boot_time, random_fraction
from laburnumyard.core.caller_requests import SHOWN
from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.ids import DaemonName, Seconds, ServiceName, TargetName
from laburnumyard.core.requests import (
    MIN_REMAINING_S,
    Quarantine,
    RetryBudget,
    may_retry,
    retry_delay,
    retry_loads_target,
)
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.daemon._crash_detection import fingerprint, quarantine_refusal
from laburnumyard.daemon._http_responses import Response
from laburnumyard.daemon._job import Job
from laburnumyard.daemon._metrics import Metrics
from laburnumyard.telemetry._log import Event, log_decision, log_event

Outcome = Result[Response, Failure]
# Failures after which another daemon is tried without a delay.
PEER_FAILURES = frozenset(
    (ErrorKind.PEER_UNREACHABLE, ErrorKind.PEER_BROKE_OFF)
)
# How long to wait for a newer assignment after a failure, in seconds. A target
# that is not yet the owner usually receives its grant soon.
ASSIGNMENT_WAITS_S = MappingProxyType(
    {
        ErrorKind.NO_OWNER: 0.15,
        ErrorKind.NOT_OWNER: 0.05,
        ErrorKind.TARGET_UNREACHABLE: 0.4,
        ErrorKind.TARGET_BROKE_OFF: 0.1,
    }
)
# Delay between a new assignment and the next try, for its grants to arrive:
# while a service starts, assignments can change faster than tries are allowed.
GRANT_DELAY_S = 0.02
NO_DAEMONS: frozenset[DaemonName] = frozenset()


@dataclass(frozen=True, slots=True)
class Route:
    """Next destination of a job.

    Parameters
    ----------
    target
        The owner of the job's key.
    dispatcher
        The daemon that dispatches to the owner.
    """

    target: TargetName
    dispatcher: DaemonName


@dataclass(slots=True)
class RetryState:
    """A job and the failures of its tries so far.

    Parameters
    ----------
    job
        The job.
    tries
        Number of the current try, from 1.
    avoided
        Daemons that were unreachable.
    uncertain_failure
        The last failure after which the job may have run.
    """

    job: Job
    tries: int = 1
    avoided: frozenset[DaemonName] = NO_DAEMONS
    uncertain_failure: Failure | None = None

    def record_failure(self, failure: Failure) -> None:
        """Record a failure if the job may have run despite it."""
        if failure.answer.ran is Ran.UNKNOWN:
            self.uncertain_failure = failure

    def reported_failure(self, failure: Failure) -> Failure:
        """Return the failure to report to the caller after the last try.

        A ``not-run`` of the last try doesn't apply to earlier tries.
        """
        if (
            self.uncertain_failure is None
            or failure.answer.ran is not Ran.NOT_RUN
        ):
            return failure
        detail = f'{self.uncertain_failure.detail}; then {failure.kind.value}'
        if failure.kind is ErrorKind.DEADLINE_BEFORE_START:
            return Failure(ErrorKind.DEADLINE_AFTER_START, detail)
        return Failure(self.uncertain_failure.kind, detail)


class Router:
    """Runs jobs at the owners of their keys.

    Parameters
    ----------
    view
        Provides the configuration and the routing tables.
    run_here
        Runs a job at a target that this daemon dispatches to.
    run_at_peer
        Forwards a job to another daemon.
    quarantine
        The requests suspected of crashing targets.
    metrics
        Counts retries.
    on_peer_lost
        Called with a daemon that was unreachable.
    """

    def __init__(
        self,
        view: ClusterView,
        run_here: Callable[[Job, TargetName], Awaitable[Outcome]],
        run_at_peer: Callable[[Job, Route], Awaitable[Outcome]],
        quarantine: Quarantine,
        metrics: Metrics,
        on_peer_lost: Callable[[DaemonName], None],
    ) -> None:
        """Initialise with full retry budgets."""
        self.view = view
        self.run_here = run_here
        self.run_at_peer = run_at_peer
        self.quarantine = quarantine
        self.metrics = metrics
        self.on_peer_lost = on_peer_lost
        self.budgets: dict[ServiceName, RetryBudget] = {}

    async def route(self, job: Job) -> Outcome:
        """Run a job; retry while that is safe and time remains.

        Parameters
        ----------
        job
            A job whose service is configured.

        Returns
        -------
        Result
            The target's whole answer, or the last failure.
        """
        refusal = self._refusal(job)
        if refusal is not None:
            return Error(refusal)
        self._budget(job.service).note_request()
        retry_state = RetryState(job)
        while True:
            outcome = await self._run_once(retry_state)
            if outcome.is_ok():
                self._clear_suspect(job)
                return outcome
            failure = outcome.error
            retry_state.record_failure(failure)
            if not await self._wait_for_retry(retry_state, failure.kind):
                return Error(retry_state.reported_failure(failure))

    def _refusal(self, job: Job) -> Failure | None:
        configuration = self.view.configuration
        if configuration is None:
            return Failure(ErrorKind.NO_CONFIGURATION)
        if job.service not in configuration.services:
            return Failure(ErrorKind.UNKNOWN_SERVICE, repr(job.service[:SHOWN]))
        return quarantine_refusal(self.quarantine, job)

    async def _wait_for_retry(
        self, retry_state: RetryState, kind: ErrorKind
    ) -> bool:
        """Wait before the next try; return False if there must be none."""
        job = retry_state.job
        budget = self._budget(job.service)
        remaining = Seconds(job.deadline - boot_time())
        if not may_retry(kind, job.repeatable, remaining, job.hops, budget):
            return False
        if retry_loads_target(kind):
            budget.spend()
        with anyio.move_on_after(remaining - MIN_REMAINING_S) as waiting:
            await self._pause(retry_state, kind)
        if waiting.cancelled_caught:
            return False
        # Checked after the wait: detecting a crashed target takes a moment.
        return not self._is_suspect(job)

    def _is_suspect(self, job: Job) -> bool:
        if not self.quarantine.records:
            return False
        return self.quarantine.is_suspect(fingerprint(job), boot_time())

    def _clear_suspect(self, job: Job) -> None:
        if self.quarantine.records:
            self.quarantine.clear_suspicion(fingerprint(job))

    async def _run_once(self, retry_state: RetryState) -> Outcome:
        started = boot_time()
        found = self.find_route(retry_state.job, retry_state.avoided)
        if isinstance(found, Failure):
            return Error(found)
        if found.dispatcher == self.view.name:
            outcome = await self.run_here(retry_state.job, found.target)
        else:
            outcome = await self.run_at_peer(retry_state.job, found)
        if outcome.is_error() and outcome.error.kind in PEER_FAILURES:
            retry_state.avoided |= {found.dispatcher}
            self.on_peer_lost(found.dispatcher)
        if self.view.settings.log.decisions:
            _log_route(retry_state, found, outcome, boot_time() - started)
        return outcome

    def find_route(
        self,
        job: Job,
        avoided: frozenset[DaemonName] = NO_DAEMONS,
    ) -> Route | Failure:
        """Return the owner of a job's key and its dispatcher.

        Parameters
        ----------
        job
            The job.
        avoided
            Daemons that were recently unreachable.
        """
        table = self.view.tables.get(job.service)
        target = table.owner(job.key_hash) if table else None
        if target is None:
            detail = f'no assignment of {job.service} covers the key yet; retry'
            return Failure(ErrorKind.NO_OWNER, detail)
        dispatcher = self.view.dispatcher_of(target, avoided)
        if dispatcher is None:
            detail = f'no live daemon dispatches to {target}; retry'
            return Failure(ErrorKind.NO_OWNER, detail)
        return Route(target, dispatcher)

    async def _pause(self, retry_state: RetryState, kind: ErrorKind) -> None:
        job = retry_state.job
        self.metrics.count('retries')
        log_event(
            Event.RETRIED,
            request=job.request_id,
            kind=kind,
            tries=retry_state.tries,
        )
        wait = ASSIGNMENT_WAITS_S.get(kind)
        if wait is not None:
            with anyio.move_on_after(wait * retry_state.tries):
                await self.view.wait_snapshot(job.service)
            if kind is ErrorKind.NO_OWNER:
                await anyio.sleep(GRANT_DELAY_S)
        elif kind not in PEER_FAILURES:
            await anyio.sleep(retry_delay(retry_state.tries, random_fraction()))
        retry_state.tries += 1
        job.hops += 1

    def _budget(self, service: ServiceName) -> RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.view.configuration.services[service])
            self.budgets[service] = budget
        return budget


def _log_route(
    retry_state: RetryState,
    route: Route,
    outcome: Outcome,
    taken: float,
) -> None:
    job = retry_state.job
    log_decision(
        Event.ROUTED,
        request=job.request_id,
        service=job.service,
        key_hash=job.key_hash,
        target=route.target,
        dispatcher=route.dispatcher,
        tries=retry_state.tries,
        reason='owner',
        outcome='answered' if outcome.is_ok() else outcome.error.kind,
        seconds=f'{taken:.4f}',
    )
