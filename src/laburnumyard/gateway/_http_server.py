"""The callers' side: HTTP/1.1 with pipelining.

uvicorn serves one request of a connection after another and stops reading
meanwhile, so pipelined requests would wait for each other, and a caller that
leaves would go unnoticed. This protocol uses uvicorn's parser, starts each
request as soon as it is read, and writes the answers in order.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from types import MappingProxyType

import anyio
from anyio.abc import TaskGroup

from laburnumyard.core.routes import CallerLimits
from laburnumyard.gateway._http_messages import CallerRequest, CallerResponse
from laburnumyard.gateway._request_reader import RequestReader
from laburnumyard.telemetry import Event, log_event

RequestHandler = Callable[[CallerRequest], Awaitable[CallerResponse]]
# Requests of one connection that are served at once; more are not read.
MAX_PIPELINED_REQUESTS = 64
LISTEN_BACKLOG = 1024
REASON_PHRASES = MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus}
)
# How long a refused caller may go on sending before the connection is cut, in
# seconds; closing at once could lose the answer.
CLOSE_LINGER_S = 0.5


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request of a connection, and its answer once there is one."""

    keep_alive: bool
    method: str
    response: CallerResponse | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class CallerServer:
    """Serves callers on one address.

    Parameters
    ----------
    serve
        Returns the answer to a request.
    limits
        Returns the bounds in force.
    tasks
        Where requests run.
    """

    def __init__(
        self,
        serve: RequestHandler,
        limits: Callable[[], CallerLimits],
        tasks: TaskGroup,
    ) -> None:
        """Start without connections; see ``listen``."""
        self.serve = serve
        self.limits = limits
        self.tasks = tasks
        self.connections: set[CallerConnection] = set()
        self.is_leaving = False
        self.is_closed = False
        # Set once the server is closed and nothing is in flight.
        self.idle = anyio.Event()
        self.listener: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Accept connections on ``IP:PORT``."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
        )

    @property
    def in_flight(self) -> int:
        """How many requests have no answer yet."""
        return sum(len(each.pending_requests) for each in self.connections)

    def announce_leaving(self) -> None:
        """Close each connection with its next answer."""
        self.is_leaving = True

    def close_idle(self) -> None:
        """Accept no more connections, and close those without a request."""
        if self.listener is not None:
            self.listener.close()
        for connection in tuple(self.connections):
            connection.close_if_idle()
        self.is_closed = True
        self.update_idle()

    def update_idle(self) -> None:
        """Tell who waits that nothing is in flight any more."""
        if self.is_closed and not self.in_flight:
            self.idle.set()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Parameters
    ----------
    server
        What it belongs to.
    """

    def __init__(self, server: CallerServer) -> None:
        """Start before the first request."""
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.reader = RequestReader(self)
        self.transport: asyncio.Transport | None = None
        self.pending_requests: deque[PendingRequest] = deque()
        self.timer: asyncio.TimerHandle | None = None
        # Nothing more is read once an answer that closes was written.
        self.is_closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the server's connections."""
        self.transport = transport  # type: ignore[assignment]
        self.server.connections.add(self)
        self.wait_for_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is served for a caller that has left."""
        self.server.connections.discard(self)
        self.stop_timer()
        self.is_closing = True
        for pending in self.pending_requests:
            pending.scope.cancel()
        self.pending_requests.clear()
        self.server.update_idle()

    def limits(self) -> CallerLimits:
        """Return the bounds in force."""
        return self.server.limits()

    def eof_received(self) -> bool:
        """Take a caller that sends no more for one that has left."""
        return False

    def data_received(self, data: bytes) -> None:
        """Take received bytes."""
        if self.is_closing:
            return
        self.reader.feed(data)

    def on_request_start(self) -> None:
        """Note the start of a request."""
        self.stop_timer()
        self.timer = self.loop.call_later(
            self.reader.limits.head_timeout_s,
            self.reject,
            HTTPStatus.REQUEST_TIMEOUT,
        )

    def send_continue(self) -> None:
        """Tell a caller that waits for it to send the body."""
        if not self.pending_requests and self.transport:
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def handle_request(
        self, request: CallerRequest, *, keep_alive: bool
    ) -> None:
        """Serve a request that was read."""
        if self.is_closing:
            return
        self.stop_timer()
        pending = PendingRequest(keep_alive, request.method)
        self.pending_requests.append(pending)
        if not pending.keep_alive:
            # Whatever follows the last request is not read.
            self.is_closing = True
        if (
            len(self.pending_requests) >= MAX_PIPELINED_REQUESTS
            and self.transport
        ):
            self.transport.pause_reading()
        self.server.tasks.start_soon(self.serve, pending, request)

    async def serve(
        self, pending: PendingRequest, request: CallerRequest
    ) -> None:
        """Serve one request."""
        with pending.scope:
            pending.response = await self.response(request)
            self.write_responses()
        self.server.update_idle()

    async def response(self, request: CallerRequest) -> CallerResponse:
        """Return the answer to a request; a fault of ours is a 500."""
        try:
            return await self.server.serve(request)
        except Exception as fault:
            log_event(
                Event.FAULT,
                'ERROR',
                path=request.path,
                fault=repr(fault),
            )
            return CallerResponse(HTTPStatus.BAD_GATEWAY)

    def write_responses(self) -> None:
        """Write the answers that are next in order."""
        while (
            self.pending_requests
            and self.pending_requests[0].response is not None
        ):
            pending = self.pending_requests.popleft()
            if self.transport is None or self.transport.is_closing():
                return
            is_last = not self.pending_requests
            closes = is_last and (
                self.is_closing
                or self.server.is_leaving
                or not pending.keep_alive
            )
            self.transport.write(encode_response(pending, closes=closes))
            if closes:
                self.close()
                return
        if (
            len(self.pending_requests) < MAX_PIPELINED_REQUESTS
            and self.transport
        ):
            self.transport.resume_reading()
        if not self.pending_requests and not self.reader.is_in_message:
            self.wait_for_request()

    def close(self) -> None:
        """Close after what was written has left."""
        self.is_closing = True
        self.stop_timer()
        if self.transport and not self.transport.is_closing():
            self.transport.write_eof()
            self.timer = self.loop.call_later(
                CLOSE_LINGER_S, self.transport.close
            )

    def close_if_idle(self) -> None:
        """Close a connection without a request."""
        if not self.pending_requests and not self.reader.is_in_message:
            self.is_closing = True
            if self.transport:
                self.transport.close()

    def reject(self, status: HTTPStatus) -> None:
        """Answer bytes that are no request, after the answers due before."""
        if self.is_closing:
            return
        self.is_closing = True
        pending = PendingRequest(keep_alive=False, method='GET')
        pending.response = CallerResponse(status)
        self.pending_requests.append(pending)
        log_event(Event.REFUSED, status=status.value, reason='bad-request')
        self.write_responses()

    def wait_for_request(self) -> None:
        """Close the connection once it was idle too long."""
        self.stop_timer()
        idle_s = self.server.limits().idle_timeout_s
        self.timer = self.loop.call_later(idle_s, self.close_if_idle)

    def stop_timer(self) -> None:
        """Forget the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def encode_response(pending: PendingRequest, *, closes: bool) -> bytes:
    """Return the bytes of an answer.

    Parameters
    ----------
    exchange
        One with an answer.
    closes
        Whether the connection ends with it.
    """
    response = pending.response or CallerResponse(HTTPStatus.BAD_GATEWAY)
    phrase = REASON_PHRASES.get(response.status, 'Unknown')
    lines = [f'HTTP/1.1 {response.status} {phrase}']
    lines.extend(f'{name}: {text}' for name, text in response.headers)
    lines.append(f'content-length: {len(response.body)}')
    if closes:
        lines.append('connection: close')
    head = '\r\n'.join((*lines, '', '')).encode('latin-1')
    return head if pending.method == 'HEAD' else head + response.body
