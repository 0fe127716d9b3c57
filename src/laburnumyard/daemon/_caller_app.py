"""ASGI application for callers: checks, serves and answers requests."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import count
from typing import Any

from expression import Error, Result

from laburnumyard.clocks import boot_time
from laburnumyard.core.caller_requests import (
    CallerRequest,
    RequestHead,
    parse_head,
)
from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.ids import RequestId
from laburnumyard.daemon._asgi import (
    Receive,
    Send,
    has_body,
    read_body,
    read_head,
    send_response,
)
from laburnumyard.daemon._caller_disconnects import DisconnectWatcher
from laburnumyard.daemon._http_responses import (
    Response,
    error_response,
    success_response,
)
from laburnumyard.daemon._metrics import Metrics
from laburnumyard.schema._generated.settings import Settings
from laburnumyard.telemetry._log import Event, log_event

Serve = Callable[[CallerRequest], Awaitable[Result[Response, Failure]]]
TICKET_HEADER = b'laburnumyard-ticket'


class CallerApp:
    """The ASGI application that callers reach.

    Parameters
    ----------
    settings
        The daemon's settings.
    serve
        Serves a checked request.
    issue_ticket
        Returns a new ticket.
    metrics
        Counts requests and errors.
    """

    def __init__(
        self,
        settings: Settings,
        serve: Serve,
        issue_ticket: Callable[[], str],
        metrics: Metrics,
    ) -> None:
        """Initialise with no request in flight."""
        self.limits = settings.limits
        self.prefix = settings.daemon.name
        self.serve = serve
        self.issue_ticket = issue_ticket
        self.metrics = metrics
        self.disconnect_watcher = DisconnectWatcher()
        self.numbers = count(1)
        self.in_flight = 0
        self.epoch = hex(int(boot_time()))[2:]

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Answer one request; failures become error responses."""
        started = boot_time()
        number = next(self.numbers)
        request_id = RequestId(f'{self.prefix}-{self.epoch}-{number}')
        self.in_flight += 1
        try:
            response = await self._respond(scope, receive, request_id)
            if response is not None:
                await send_response(send, response, scope['method'])
        finally:
            self.in_flight -= 1
        self.metrics.record('request', boot_time() - started)

    async def _respond(
        self,
        scope: dict[str, Any],
        receive: Receive,
        request_id: RequestId,
    ) -> Response | None:
        head = read_head(scope)
        parsed = self._admit(head, request_id)
        if parsed.is_ok() and has_body(head):
            body = await read_body(receive, self.limits)
            parsed = body.map(parsed.ok.with_body)
        if parsed.is_error():
            carries_ticket = any(
                name == TICKET_HEADER for name, _ in head.headers
            )
            return self._refuse(parsed.error, request_id, carries_ticket)
        caller = self.disconnect_watcher.start(receive)
        try:
            outcome = await self._serve(parsed.ok)
        except asyncio.CancelledError:
            if not caller.is_disconnected:
                raise
            self.metrics.count('callers_gone')
            return None
        finally:
            self.disconnect_watcher.stop(caller)
        if outcome.is_ok():
            self.metrics.count('answers')
            return success_response(outcome.ok, request_id)
        return self._refuse(outcome.error, request_id, carries_ticket=False)

    def _admit(
        self,
        head: RequestHead,
        request_id: RequestId,
    ) -> Result[CallerRequest, Failure]:
        limit = self.limits.callers
        if self.in_flight > limit:
            detail = f'this daemon already holds {limit} requests'
            return Error(Failure(ErrorKind.OVERLOADED, detail))
        return parse_head(head, request_id, self.limits)

    async def _serve(
        self,
        request: CallerRequest,
    ) -> Result[Response, Failure]:
        try:
            return await self.serve(request)
        except Exception as fault:
            # An exception in one request must not stop the daemon.
            log_event(
                Event.FAULT,
                'ERROR',
                request=request.request_id,
                error=repr(fault),
            )
            return Error(Failure(ErrorKind.INTERNAL, type(fault).__name__))

    def _refuse(
        self,
        failure: Failure,
        request_id: RequestId,
        carries_ticket: bool,
    ) -> Response:
        """Return the error response to a failure.

        A refusal before the ticket ledger was consulted says nothing about an
        earlier submission of the ticket, so it must not report ``not-run``.
        """
        kind = failure.kind
        self.metrics.count(f'errors{{kind="{kind.value}"}}')
        log_event(
            Event.REFUSED,
            failure.answer.log_level.value,
            request=request_id,
            kind=kind,
            detail=failure.detail,
        )
        ticket = None
        if kind is ErrorKind.TICKET_REQUIRED:
            ticket = self.issue_ticket()
        ran = Ran.UNKNOWN if carries_ticket else None
        return error_response(failure, request_id, ran, ticket)
