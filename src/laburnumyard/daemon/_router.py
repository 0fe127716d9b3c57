"""Routes a job: owner of the key, dispatcher of the owner, retries."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from expression import Error, Result

from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.ids import DaemonName, ServiceName, TargetName
from laburnumyard.core.requests import (
    Quarantine,
    RetryBudget,
    fingerprint_of,
    may_retry,
    retry_delay,
)
from laburnumyard.daemon._answers import Response
from laburnumyard.daemon._clock import boot_time, draw_fraction
from laburnumyard.daemon._jobs import Job
from laburnumyard.daemon._log import Event, log_event
from laburnumyard.daemon._metrics import Metrics
from laburnumyard.daemon._view import View

Outcome = Result[Response, Failure]


@dataclass(frozen=True, slots=True)
class Route:
    """Where a job goes next.

    Parameters
    ----------
    target
        The owner of its key.
    dispatcher
        The daemon that dispatches to the owner.
    """

    target: TargetName
    dispatcher: DaemonName


class Router:
    """Has jobs run at the owners of their keys.

    Parameters
    ----------
    view
        What the daemon knows of the deployment.
    run_here
        Runs a job at a target that this daemon dispatches to.
    run_at
        Has another daemon run a job.
    quarantine
        The requests that are suspected of crashing targets.
    metrics
        Where retries are counted.
    """

    def __init__(
        self,
        view: View,
        run_here: Callable[[Job, TargetName], Awaitable[Outcome]],
        run_at: Callable[[Job, Route], Awaitable[Outcome]],
        quarantine: Quarantine,
        metrics: Metrics,
    ) -> None:
        """Start with full retry budgets."""
        self.view = view
        self.run_here = run_here
        self.run_at = run_at
        self.quarantine = quarantine
        self.metrics = metrics
        self.budgets: dict[ServiceName, RetryBudget] = {}

    async def route(self, job: Job) -> Outcome:
        """Run a job, again where that is safe and there is time.

        Parameters
        ----------
        job
            A job whose service is configured.

        Returns
        -------
        Result
            The target's whole answer, or the last failure.
        """
        suspected = fingerprint_of(
            job.service, job.method, job.path, job.key, job.body
        )
        refusal = self.quarantine.refusal(suspected, boot_time())
        if refusal is not None:
            return Error(refusal)
        budget = self._budget(job.service)
        budget.note_request()
        tries = 1
        while True:
            outcome = await self._try(job, tries)
            if outcome.is_ok() or self.quarantine.is_suspect(
                suspected, boot_time()
            ):
                return outcome
            kind = outcome.error.kind
            remaining = job.deadline - boot_time()
            if not may_retry(kind, job.repeatable, remaining, job.hops, budget):
                return outcome
            budget.spend()
            job.hops += 1
            await self._pause(job, kind, tries)
            tries += 1

    async def _try(self, job: Job, tries: int) -> Outcome:
        started = boot_time()
        route = self.find(job)
        if route.is_error():
            return Error(route.error)
        found = route.ok
        if found.dispatcher == self.view.name:
            outcome = await self.run_here(job, found.target)
        else:
            outcome = await self.run_at(job, found)
        if self.view.settings.log.decisions:
            _log_route(job, found, tries, outcome, boot_time() - started)
        return outcome

    def find(self, job: Job) -> Result[Route, Failure]:
        """Return the owner of a job's key and its dispatcher."""
        table = self.view.tables.get(job.service)
        target = table.owner(job.key_hash) if table else None
        if target is None:
            detail = f'no assignment of {job.service} holds the key yet'
            return Error(Failure(ErrorKind.NO_OWNER, detail))
        dispatcher = self.view.dispatcher_of(target)
        if dispatcher is None:
            detail = f'no daemon is alive near {target}'
            return Error(Failure(ErrorKind.NO_OWNER, detail))
        return Result.Ok(Route(target, dispatcher))

    async def _pause(self, job: Job, kind: ErrorKind, tries: int) -> None:
        self.metrics.count('retries')
        log_event(Event.RETRIED, request=job.request_id, kind=kind, tries=tries)
        await anyio.sleep(retry_delay(tries, draw_fraction()))

    def _budget(self, service: ServiceName) -> RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.view.configuration.services[service])
            self.budgets[service] = budget
        return budget


def _log_route(
    job: Job,
    route: Route,
    tries: int,
    outcome: Outcome,
    taken: float,
) -> None:
    log_event(
        Event.ROUTED,
        request=job.request_id,
        service=job.service,
        key_hash=job.key_hash,
        target=route.target,
        dispatcher=route.dispatcher,
        tries=tries,
        reason='owner',
        outcome='answered' if outcome.is_ok() else outcome.error.kind,
        seconds=f'{taken:.4f}',
    )
