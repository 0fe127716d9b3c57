"""The issuer's side of tickets, and the way of a submission to it."""

import json
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from expression import Error, Ok, Result

from laburnumyard.core import requests
from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.ids import DaemonName
from laburnumyard.daemon._answers import Response
from laburnumyard.daemon._clock import boot_time, draw_number
from laburnumyard.daemon._jobs import Job

Outcome = Result[Response, Failure]


class TicketOffice:
    """Issues tickets and runs what is submitted with them at most once.

    Parameters
    ----------
    ledger
        What became of the tickets.
    route
        Runs a job at the owner of its key.
    submit_at
        Passes a submission to the daemon that issued its ticket.
    tasks
        Runs go on there when their caller leaves.
    """

    def __init__(
        self,
        ledger: requests.TicketLedger,
        route: Callable[[Job], Awaitable[Outcome]],
        submit_at: Callable[[Job, requests.Ticket], Awaitable[Outcome]],
        tasks: TaskGroup,
    ) -> None:
        """Start with no ticket issued."""
        self.ledger = ledger
        self.route = route
        self.submit_at = submit_at
        self.tasks = tasks

    def issue(self) -> str:
        """Return a fresh ticket."""
        return self.ledger.issue(draw_number(), boot_time()).ticket_id

    async def submit(self, job: Job) -> Outcome:
        """Submit a job at whichever daemon issued its ticket."""
        ticket = requests.parse_ticket(job.ticket)
        if ticket is None:
            detail = f'ticket {job.ticket[:40]!r}: ask for one without a ticket'
            return Error(Failure(ErrorKind.BAD_REQUEST, detail))
        if ticket.issuer == self.ledger.issuer:
            return await self.submit_here(job)
        return await self.submit_at(job, ticket)

    async def submit_here(self, job: Job) -> Outcome:
        """Run a job unless its ticket has been used.

        Returns
        -------
        Result
            The first answer for every submission of the ticket.
        """
        ticket = requests.parse_ticket(job.ticket)
        fingerprint = requests.fingerprint_of(
            job.service, job.method, job.path, job.key, job.body
        )
        decision = self.ledger.submit(ticket, fingerprint, boot_time())
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
        """Run a job to its end, also when its caller leaves."""
        done = anyio.Event()
        outcomes: list[Outcome] = []

        async def run_once() -> None:
            try:
                outcomes.append(await self._route(job))
            finally:
                self._finish(ticket, outcomes)
                done.set()

        self.tasks.start_soon(run_once)
        await done.wait()
        if outcomes:
            return outcomes[0]
        return Error(Failure(ErrorKind.INTERNAL, 'the daemon is stopping'))

    async def _route(self, job: Job) -> Outcome:
        try:
            return await self.route(job)
        except Exception as fault:
            return Error(Failure(ErrorKind.INTERNAL, repr(fault)))

    def _finish(self, ticket: requests.Ticket, outcomes: list[Outcome]) -> None:
        if not outcomes:
            self.ledger.finish(ticket, Ran.UNKNOWN, b'')
            return
        outcome = outcomes[0]
        ran = Ran.RAN if outcome.is_ok() else outcome.error.answer.ran
        self.ledger.finish(ticket, ran, _encode(outcome))


def issuer_of(job: Job) -> DaemonName | None:
    """Return the daemon that issued a job's ticket."""
    ticket = requests.parse_ticket(job.ticket)
    return None if ticket is None else ticket.issuer


def _encode(outcome: Outcome) -> bytes:
    if outcome.is_error():
        failure = outcome.error
        row = {'kind': failure.kind.value, 'detail': failure.detail}
        return json.dumps(row).encode()
    response = outcome.ok
    row = {'status': response.status, 'headers': response.headers}
    return json.dumps(row).encode() + b'\n' + response.body


def _decode(answer: bytes) -> Outcome:
    head, _, body = answer.partition(b'\n')
    row = json.loads(head)
    if 'kind' in row:
        return Error(Failure(ErrorKind(row['kind']), row['detail']))
    headers = tuple(map(tuple, row['headers']))
    return Ok(Response(row['status'], headers, body))
