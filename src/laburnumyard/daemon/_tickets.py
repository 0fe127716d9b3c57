"""Issues tickets and runs each ticketed request at most once."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup
from expression import Error, Ok, Result

from laburnumyard.clocks import boot_time, random_number
from laburnumyard.core import requests
from laburnumyard.core.caller_requests import SHOWN
from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.ids import ServiceName
from laburnumyard.daemon._http_responses import Response
from laburnumyard.daemon._job import Job

Outcome = Result[Response, Failure]
STOPPING_FAILURE = Failure(ErrorKind.INTERNAL, 'the daemon is stopping')


@dataclass(slots=True)
class _TicketedRun:
    """The single run of a ticketed request.

    The outcome is an internal error until the target has answered.
    """

    job: Job
    ticket: requests.Ticket
    outcome: Outcome = field(default_factory=lambda: Error(STOPPING_FAILURE))
    done: anyio.Event = field(default_factory=anyio.Event)


class TicketService:
    """Issues tickets and runs each ticketed request at most once.

    Parameters
    ----------
    ledger
        Records the state of each ticket.
    route
        Runs a job at the owner of its key.
    submit_at_issuer
        Forwards a submission to the daemon that issued its ticket.
    tasks
        Task group in which a run continues after its caller disconnects.
    """

    def __init__(
        self,
        ledger: requests.TicketLedger,
        route: Callable[[Job], Awaitable[Outcome]],
        submit_at_issuer: Callable[[Job, requests.Ticket], Awaitable[Outcome]],
        tasks: TaskGroup,
    ) -> None:
        """Initialise with no ticket issued."""
        self.ledger = ledger
        self.route = route
        self.submit_at_issuer = submit_at_issuer
        self.tasks = tasks

    def issue(self) -> str:
        """Return a new ticket."""
        return self.ledger.issue(random_number(), boot_time()).ticket_id

    async def submit(self, job: Job) -> Outcome:
        """Submit a job to the daemon that issued its ticket."""
        ticket = requests.parse_ticket(job.ticket)
        if ticket is None or ticket.issuer == self.ledger.issuer:
            return await self.submit_here(job)
        return await self.submit_at_issuer(job, ticket)

    async def submit_here(self, job: Job) -> Outcome:
        """Run a job unless its ticket has been used.

        Returns
        -------
        Result
            The answer of the only run, for every submission of the ticket.
        """
        ticket = requests.parse_ticket(job.ticket)
        if ticket is None:
            detail = (
                f'malformed ticket {job.ticket[:SHOWN]!r}: '
                'send the request without a ticket to get one'
            )
            return Error(Failure(ErrorKind.BAD_REQUEST, detail))
        decision = self.ledger.submit(ticket, _request_digest(job), boot_time())
        match decision:
            case requests.Run():
                return await self._run(job, ticket)
            case requests.Replay(answer=answer):
                return _decode(answer)
            case requests.StillRunning():
                return Error(Failure(ErrorKind.STILL_RUNNING))
            case requests.Conflict():
                return Error(Failure(ErrorKind.TICKET_CONFLICT))
        return Error(decision.failure)

    async def _run(self, job: Job, ticket: requests.Ticket) -> Outcome:
        """Run a job to its end even if the caller disconnects."""
        run = _TicketedRun(job, ticket)
        self.tasks.start_soon(self._run_once, run)
        await run.done.wait()
        return run.outcome

    async def _run_once(self, run: _TicketedRun) -> None:
        try:
            run.outcome = await self._route(run.job)
        finally:
            self._finish(run)

    def _finish(self, run: _TicketedRun) -> None:
        ran = _ran(run.outcome)
        self.ledger.finish(run.ticket, ran, _encode(run.outcome))
        run.done.set()

    async def _route(self, job: Job) -> Outcome:
        try:
            return await self.route(job)
        except Exception as fault:
            return Error(Failure(ErrorKind.INTERNAL, repr(fault)))


def _request_digest(job: Job) -> bytes:
    """Return the digest of a request and its customer.

    The customer is included because an answer belongs to one customer only.
    """
    owner = ServiceName(f'{job.service}/{job.customer}')
    return requests.fingerprint_of(
        owner, job.method, job.path, job.key, job.body
    )


def _ran(outcome: Outcome) -> Ran:
    return Ran.RAN if outcome.is_ok() else outcome.error.answer.ran


def _encode(outcome: Outcome) -> bytes:
    if outcome.is_error():
        failure = outcome.error
        row = {'kind': failure.kind.value, 'detail': failure.detail}
        return json.dumps(row).encode()
    response = outcome.ok
    row = {'status': response.status, 'headers': response.headers}
    return b'\n'.join((json.dumps(row).encode(), response.body))


def _decode(answer: bytes) -> Outcome:
    head, _, body = answer.partition(b'\n')
    row = json.loads(head)
    kind = row.get('kind')
    if kind is not None:
        return Error(Failure(ErrorKind(kind), row['detail']))
    headers = tuple(map(tuple, row['headers']))
    return Ok(Response(row['status'], headers, body))
