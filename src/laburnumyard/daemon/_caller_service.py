"""Serves callers' requests: checks them, then routes or submits them."""

from collections.abc import Awaitable, Callable

from expression import Error, Result

from laburnumyard.clocks import boot_time
from laburnumyard.core.caller_requests import SHOWN, CallerRequest
from laburnumyard.core.configuration import is_token_of
from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.ids import Seconds
from laburnumyard.daemon._cluster_view import ClusterView
from laburnumyard.daemon._http_responses import Response
from laburnumyard.daemon._job import Job

Outcome = Result[Response, Failure]
# Subtracted from the deadline so that the response reaches the caller in time.
ANSWER_MARGIN_S = 0.002


class CallerService:
    """Serves checked requests of callers.

    Parameters
    ----------
    view
        Provides the configuration.
    route
        Runs a repeatable job.
    submit
        Submits a job with a ticket.
    """

    def __init__(
        self,
        view: ClusterView,
        route: Callable[[Job], Awaitable[Outcome]],
        submit: Callable[[Job], Awaitable[Outcome]],
    ) -> None:
        """Initialise; requests are accepted at any time."""
        self.view = view
        self.route = route
        self.submit = submit

    async def serve(self, request: CallerRequest) -> Outcome:
        """Serve one request.

        Returns
        -------
        Result
            The target's complete response, or a failure.
        """
        refusal = self.refusal(request)
        if refusal is not None:
            return Error(_hide_not_run(request, refusal))
        job = make_job(request)
        if job.ticket:
            return await self.submit(job)
        if job.repeatable:
            return await self.route(job)
        return Error(Failure(ErrorKind.TICKET_REQUIRED))

    def refusal(self, request: CallerRequest) -> Failure | None:
        """Return why a request is refused; None if it is accepted."""
        configuration = self.view.configuration
        if configuration is None:
            return Failure(ErrorKind.NO_CONFIGURATION)
        if request.service not in configuration.services:
            known = ', '.join(sorted(configuration.services))
            detail = f'service {request.service[:SHOWN]!r}; use one of {known}'
            return Failure(ErrorKind.UNKNOWN_SERVICE, detail)
        if request.customer or request.token:
            customer = configuration.customers.get(request.customer)
            stored = customer.token_sha256 if customer else ''
            if not is_token_of(request.token, stored):
                detail = f'customer {request.customer[:SHOWN]!r}'
                return Failure(ErrorKind.UNAUTHENTICATED, detail)
        if self.view.is_draining:
            return Failure(ErrorKind.SHUTTING_DOWN)
        return None


def make_job(request: CallerRequest) -> Job:
    """Return the job of a request, with its deadline on this clock."""
    return Job(
        request_id=request.request_id,
        service=request.service,
        customer=request.customer,
        key=request.key,
        key_hash=request.key_hash,
        operation=f'{request.method} {request.operation}',
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        deadline=Seconds(boot_time() + request.timeout - ANSWER_MARGIN_S),
        repeatable=request.repeatable and not request.ticket,
        ticket=request.ticket,
        hops=0,
    )


def _hide_not_run(request: CallerRequest, failure: Failure) -> Failure:
    """Hide a ``not-run`` if an earlier submission may have run."""
    if not request.ticket:
        return failure
    detail = f'{failure.kind.value}: {failure.detail}'
    return Failure(ErrorKind.TICKET_UNSETTLED, detail)
