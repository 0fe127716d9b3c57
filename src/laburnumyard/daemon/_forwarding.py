"""Forwards requests to other daemons and runs forwarded requests."""

from collections.abc import Awaitable, Callable

import anyio
from expression import Error, Result

from laburnumyard.clocks import MILLISECONDS_PER_SECOND, boot_time
from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.fast_results import ok
from laburnumyard.core.ids import (
    CustomerName,
    DaemonName,
    RequestId,
    Seconds,
    ServiceName,
    TargetName,
    TicketId,
)
from laburnumyard.core.key_hashing import hash_key
from laburnumyard.core.requests import MAX_HOPS, Ticket
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.daemon._http_responses import Response, is_valid_response
from laburnumyard.daemon._job import Job
from laburnumyard.daemon._router import Route
from laburnumyard.schema._generated.messages import (
    Cancel,
    Header,
    Submit,
    SubmitAnswer,
)
from laburnumyard.telemetry._log import Event, log_event
from laburnumyard.wire import (
    IncomingLink,
    LinkError,
    LinkErrorKind,
    LinkPool,
    Peer,
)

Outcome = Result[Response, Failure]
# Error kinds of a failed link request, indexed by whether it timed out.
_SENT_FAILURES = (ErrorKind.PEER_BROKE_OFF, ErrorKind.DEADLINE_AFTER_START)
_UNSENT_FAILURES = (ErrorKind.PEER_UNREACHABLE, ErrorKind.DEADLINE_BEFORE_START)
# Subtracted from the deadline so that the peer answers before this daemon
# times out.
HOP_MARGIN_S = 0.002


class JobForwarder:
    """Forwards jobs to other daemons.

    Parameters
    ----------
    view
        Provides the addresses of the other daemons.
    pool
        The links to the other daemons.
    """

    def __init__(self, view: ClusterView, pool: LinkPool) -> None:
        """Initialise; links are opened by the pool."""
        self.view = view
        self.pool = pool

    async def run_at_peer(self, job: Job, route: Route) -> Outcome:
        """Forward a job to the daemon that dispatches to its target."""
        peer = self.view.peer(route.dispatcher)
        if peer is None:
            detail = f'daemon {route.dispatcher} is not a known member'
            return Error(Failure(ErrorKind.PEER_UNREACHABLE, detail))
        answer = await self._request(peer, job, route.target)
        if answer.is_ok():
            return _outcome(answer.ok)
        return Error(_link_failure(route.dispatcher, answer.error))

    async def submit_at_issuer(self, job: Job, ticket: Ticket) -> Outcome:
        """Submit a job to the issuer of its ticket.

        After any failure an earlier submission may have run, so the failure
        never promises ``not-run``.
        """
        known = self.view.peer(ticket.issuer)
        if known is None or (known.incarnation or 0) > ticket.incarnation:
            detail = f'issuer {ticket.issuer} is gone or was restarted'
            return Error(Failure(ErrorKind.TICKET_VOID, detail))
        peer = Peer(ticket.issuer, known.address, ticket.incarnation)
        answer = await self._request(peer, job, TargetName(''))
        if answer.is_ok():
            return _outcome(answer.ok)
        error = answer.error
        kind = ErrorKind.TICKET_UNSETTLED
        if error.kind is LinkErrorKind.WRONG_PEER:
            kind = ErrorKind.TICKET_VOID
        detail = f'{ticket.issuer}: {error.kind.value} {error.detail}'
        return Error(Failure(kind, detail))

    async def _request(
        self,
        peer: Peer,
        job: Job,
        target: TargetName,
    ) -> Result[SubmitAnswer, LinkError]:
        remaining = job.deadline - boot_time()
        if remaining <= 0:
            return Error(
                LinkError(
                    LinkErrorKind.TIMEOUT, 'no time left before the deadline'
                )
            )
        message = _submit(job, target, remaining - HOP_MARGIN_S)
        answer = await self.pool.request(peer, message, remaining)
        if answer.is_ok() and not isinstance(answer.ok, SubmitAnswer):
            detail = f'{type(answer.ok).__name__} instead of SubmitAnswer'
            kind = LinkErrorKind.UNEXPECTED_MESSAGE
            return Error(LinkError(kind, detail, may_have_been_sent=True))
        return answer


class ForwardedJobReceiver:
    """Runs jobs that other daemons forward.

    Parameters
    ----------
    run_here
        Runs a job at a target that this daemon dispatches to.
    submit_here
        Submits a job whose ticket was issued by this daemon.
    """

    def __init__(
        self,
        run_here: Callable[[Job, TargetName], Awaitable[Outcome]],
        submit_here: Callable[[Job], Awaitable[Outcome]],
    ) -> None:
        """Initialise with no job."""
        self.run_here = run_here
        self.submit_here = submit_here
        self.cancel_scopes: dict[
            IncomingLink, dict[int, anyio.CancelScope]
        ] = {}

    async def run(self, link: IncomingLink, submit: Submit) -> None:
        """Run one job and answer on its link, unless the link has closed."""
        cancel_scopes = self._cancel_scopes_of(link)
        scope = anyio.CancelScope()
        cancel_scopes[submit.number] = scope
        outcome: Outcome | None = None
        with scope:
            outcome = await self._run(submit)
        cancel_scopes.pop(submit.number, None)
        if outcome is not None:
            _send_answer(link, submit.number, outcome)

    def cancel(self, link: IncomingLink, cancel: Cancel) -> None:
        """Cancel a job whose sender no longer waits."""
        scope = self.cancel_scopes.get(link, {}).get(cancel.number)
        if scope is not None:
            scope.cancel()

    def _cancel_scopes_of(
        self, link: IncomingLink
    ) -> dict[int, anyio.CancelScope]:
        if link not in self.cancel_scopes:
            self.cancel_scopes[link] = {}
            link.on_closed.append(self._cancel_all)
        return self.cancel_scopes[link]

    def _cancel_all(self, link: IncomingLink) -> None:
        for scope in self.cancel_scopes.pop(link, {}).values():
            scope.cancel()

    async def _run(self, submit: Submit) -> Outcome:
        refusal = _refusal(submit)
        if refusal is not None:
            return Error(refusal)
        try:
            return await self._dispatch(submit)
        except Exception as fault:
            # An exception must not leave the sender waiting.
            log_event(
                Event.FAULT,
                'ERROR',
                request=submit.request_id,
                error=repr(fault),
            )
            return Error(Failure(ErrorKind.INTERNAL, type(fault).__name__))

    async def _dispatch(self, submit: Submit) -> Outcome:
        if submit.target:
            return await self.run_here(_job(submit), TargetName(submit.target))
        return await self.submit_here(_job(submit))


def _refusal(submit: Submit) -> Failure | None:
    """Return why a peer's request is refused; None if it is accepted."""
    if submit.hops > MAX_HOPS + 1:
        detail = (
            f'forwarded {submit.hops} times, which is over the limit; retry'
        )
        return Failure(ErrorKind.NO_OWNER, detail)
    if not submit.repeatable and not submit.ticket:
        detail = 'a request that is not repeatable needs a ticket'
        return Failure(ErrorKind.BAD_REQUEST, detail)
    return None


def _send_answer(link: IncomingLink, number: int, outcome: Outcome) -> None:
    sent = link.send(_answer(number, outcome))
    if sent.is_error():
        # Without this answer the peer would wait until its deadline.
        failure = Failure(ErrorKind.TARGET_BROKE_OFF, sent.error.detail)
        link.send(_answer(number, Error(failure)))


def _link_failure(peer: DaemonName, error: LinkError) -> Failure:
    kinds = _SENT_FAILURES if error.may_have_been_sent else _UNSENT_FAILURES
    is_timeout = error.kind is LinkErrorKind.TIMEOUT
    detail = f'{peer}: {error.kind.value} {error.detail}'
    return Failure(kinds[is_timeout], detail)


def _submit(job: Job, target: TargetName, remaining: float) -> Submit:
    return Submit(
        number=0,
        request_id=job.request_id,
        service=job.service,
        target=target,
        customer=job.customer,
        key=job.key,
        method=job.method,
        path=job.path,
        headers=_headers(job.headers),
        body=job.body,
        deadline_ms=max(1, int(remaining * MILLISECONDS_PER_SECOND)),
        repeatable=job.repeatable,
        ticket=job.ticket,
        hops=job.hops + 1,
    )


def _job(submit: Submit) -> Job:
    timeout = submit.deadline_ms / MILLISECONDS_PER_SECOND
    path = submit.path.partition('?')[0].lstrip('/')
    operation = path.partition('/')[2].partition('/')[0]
    return Job(
        request_id=RequestId(submit.request_id),
        service=ServiceName(submit.service),
        customer=CustomerName(submit.customer),
        key=submit.key,
        key_hash=hash_key(submit.key),
        operation=f'{submit.method} {operation}',
        method=submit.method,
        path=submit.path,
        headers=_pairs(submit.headers),
        body=submit.body,
        deadline=Seconds(boot_time() + timeout),
        repeatable=submit.repeatable,
        ticket=TicketId(submit.ticket),
        hops=submit.hops,
    )


def _answer(number: int, outcome: Outcome) -> SubmitAnswer:
    if outcome.is_error():
        failure = outcome.error
        kind = failure.kind.value
        return SubmitAnswer(number, kind, failure.detail, 0, (), b'')
    response = outcome.ok
    headers = _headers(response.headers)
    return SubmitAnswer(number, '', '', response.status, headers, response.body)


def _outcome(answer: SubmitAnswer) -> Outcome:
    if not answer.kind:
        headers = _pairs(answer.headers)
        response = Response(answer.status, headers, answer.body)
        if is_valid_response(response):
            return ok(response)
        detail = 'a daemon forwarded a malformed answer'
        return Error(Failure(ErrorKind.PEER_BROKE_OFF, detail))
    try:
        kind = ErrorKind(answer.kind)
    except ValueError:
        kind = ErrorKind.PEER_BROKE_OFF
    return Error(Failure(kind, answer.detail))


def _headers(pairs: tuple[tuple[str, str], ...]) -> tuple[Header, ...]:
    return tuple(Header(name, text) for name, text in pairs)


def _pairs(headers: tuple[Header, ...]) -> tuple[tuple[str, str], ...]:
    return tuple((header.name, header.value) for header in headers)
