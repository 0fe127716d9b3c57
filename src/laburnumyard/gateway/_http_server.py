"""HTTP/1.1 server for callers, with concurrent pipelined requests.

uvicorn serves the requests of a connection one at a time and does not read
meanwhile, so pipelined requests would queue behind each other and a
disconnect would go unnoticed. This protocol uses uvicorn's parser (httptools),
starts each request as soon as it is parsed, and writes responses in order.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from http import HTTPStatus

import anyio

from laburnumyard.core.memory_account import (
    CONNECTION_BYTES,
    Holder,
    MemoryAccount,
)
from laburnumyard.core.routes import CallerLimits
from laburnumyard.gateway._connection_timeout import ConnectionTimeout
from laburnumyard.gateway._disconnect_probe import (
    INTERIM_RESPONSE,
    DisconnectProbe,
)
from laburnumyard.gateway._http_messages import (
    CallerRequest,
    CallerResponse,
)
from laburnumyard.gateway._http_request_reader import RequestReader
from laburnumyard.gateway._metered_connection import (
    MAX_PIPELINED_REQUESTS,
    MeteredConnection,
    PendingRequest,
)
from laburnumyard.gateway._request_starts import (
    RequestStarts,
    RunningRequests,
)
from laburnumyard.gateway._task_supervision import (
    SupervisedTasks,
    confine,
    confined,
)
from laburnumyard.intake import (
    NO_LIMITS,
    CallerListener,
    ConnectionLimits,
    ParsingQueue,
    ReceiveBuffer,
    cut_for_memory,
    longest_idle,
)
from laburnumyard.telemetry import METRICS, Event, log_decision, log_event

RequestHandler = Callable[[CallerRequest], Awaitable[CallerResponse]]
# Delay between the last response and closing the socket. Closing while the
# caller still sends could reset the connection and lose the response.
CLOSE_LINGER_S = 0.5


__all__ = ('MAX_PIPELINED_REQUESTS', 'CallerConnection', 'CallerServer')


class CallerServer:
    """HTTP server on one address.

    Parameters
    ----------
    serve
        Returns the response to a request.
    limits
        Returns the current size and time limits.
    tasks
        Background tasks; run the requests.
    account
        Account of the memory of the process.
    connection_limits
        Limits on the connections.
    """

    def __init__(
        self,
        serve: RequestHandler,
        limits: Callable[[], CallerLimits],
        tasks: SupervisedTasks,
        account: MemoryAccount | None = None,
        connection_limits: ConnectionLimits = NO_LIMITS,
    ) -> None:
        """Create a server that does not listen yet; see ``listen``."""
        self.serve = serve
        self.limits = limits
        self.tasks = tasks
        self.connections: set[CallerConnection] = set()
        self.parsing_queue = ParsingQueue()
        self.running = RunningRequests()
        # Servers whose callers are cut before those of this one.
        self.cut_first: list[CallerServer] = []
        self.is_leaving = False
        # Set and replaced when a connection ends or becomes free.
        self.changed = anyio.Event()
        self.account = account or MemoryAccount()
        self.connection_limits = connection_limits
        self.socket_buffer_bytes = connection_limits.socket_buffer_bytes
        self.listener: CallerListener | None = None

    async def listen(self, address: str) -> None:
        """Accept connections on ``IP:PORT``."""
        host, _, port = address.rpartition(':')
        self.listener = CallerListener(
            partial(CallerConnection, self),
            partial(self.tasks.start_soon, 'accept'),
            self.connection_limits,
            self.close_one,
        )
        self.listener.start(host, int(port))

    @property
    def in_flight(self) -> int:
        """Number of requests without a response."""
        return sum(len(each.pending_requests) for each in self.connections)

    def announce_leaving(self) -> None:
        """Take at most one more request on each connection, then close it.

        Requests behind the last one that was read are left unread: callers
        send them again elsewhere.
        """
        self.is_leaving = True
        for connection in tuple(self.connections):
            if connection.pending_requests:
                connection.stop_reading()

    def make_room(self) -> bool:
        """Cut the caller with the least progress for the memory it holds.

        Those of health checks and operators, who need little, come first.

        Returns
        -------
        bool
            Whether there was one.
        """
        if any(server.make_room() for server in self.cut_first):
            return True
        for connection in self.connections:
            connection.note_state()
        return cut_for_memory({each.claim: each for each in self.connections})

    def close_one(self, address: str) -> bool:
        """Close the connection that has done nothing for longest.

        It may be one that stopped inside a request; none that waits for a
        response is closed.

        Parameters
        ----------
        address
            IP address of its caller; ``ANY_ADDRESS`` for any.

        Returns
        -------
        bool
            Whether there was one.
        """
        idle = (
            connection
            for connection in self.connections
            if not (connection.pending_requests or connection.is_closing)
        )
        oldest = longest_idle(idle, address)
        if oldest is None:
            return False
        if oldest.reader.is_in_message:
            oldest.cut('descriptors')
        else:
            METRICS.count('cuts_total', reason='descriptors')
            oldest.abandon()
        return True

    def close_idle(self) -> None:
        """Stop accepting connections and close the idle ones."""
        if self.listener is not None:
            self.listener.close()
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def close_unread(self) -> None:
        """Close the connections on which no request was read whole."""
        for connection in tuple(self.connections):
            if not connection.is_busy:
                connection.abandon()

    async def wait_idle(self) -> None:
        """Wait until all requests are answered and the answers are sent."""
        while any(connection.is_busy for connection in self.connections):
            await self.changed.wait()

    def announce_change(self) -> None:
        """Wake who waits for connections to end."""
        if self.is_leaving:
            self.changed.set()
            self.changed = anyio.Event()


class CallerConnection(MeteredConnection):
    """Protocol of one caller connection.

    A caller that closes only its sending side gets the responses to what it has
    sent. One that disconnects has its requests cancelled.

    Parameters
    ----------
    server
        Server that accepted the connection.
    address
        IP address of the caller. It is that of the accepted socket, as a
        connection that has been reset no longer tells.
    """

    def __init__(self, server: CallerServer, address: str = '') -> None:
        """Create the state of a new connection."""
        super().__init__(server)
        self.server = server
        self.limits = server.limits
        self.loop = asyncio.get_running_loop()
        self.starts = RequestStarts(
            server.running,
            partial(server.tasks.start_soon, 'request', self.serve),
        )
        self.reader = RequestReader(self)
        self.received = ReceiveBuffer(
            self,
            self.reader,
            server.parsing_queue,
            server.socket_buffer_bytes,
        )
        self.address = address
        self.timeout = ConnectionTimeout(self.loop, self.abort)
        # Requests that were read on this connection.
        self.served = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self.transport = transport  # type: ignore[assignment]
        self.writer.transport = self.transport
        self.server.connections.add(self)
        with confined('connection', self.abort):
            self.transport.set_write_buffer_limits(high=0)
            self.wait_for_request()
            self.draw(Holder.CONNECTIONS, CONNECTION_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a caller that disconnected."""
        self.server.connections.discard(self)
        self.server.parsing_queue.discard(self.received)
        self.timeout.stop()
        self.is_closing = True
        if self.pending_requests:
            _log_unanswered(len(self.pending_requests), exc)
        for pending in self.pending_requests:
            pending.scope.cancel()
        self.pending_requests.clear()
        self.starts.drop_waiting()
        self.release()
        if self.server.listener is not None:
            self.server.listener.note_end(self.address)
        self.server.announce_change()

    @property
    def is_busy(self) -> bool:
        """Whether a response is due, or the caller may not have all of it."""
        if self.transport is None or self not in self.server.connections:
            return False
        is_unsent = not self.writer.is_idle
        return bool(self.pending_requests) or is_unsent or self.is_closing

    def eof_received(self) -> bool:
        """Go on with the requests of a caller that may still receive."""
        has_left = not (self.pending_requests and self.reader.allows_interim)
        if has_left or self.transport is None:
            return self.finishes_writing()
        self.is_closing = True
        with confined('connection', self.abort):
            DisconnectProbe(self.writer, self.timeout).start()
        return True

    def finishes_writing(self) -> bool:
        """Whether the connection goes on until its last response is sent."""
        if self.pending_requests or self.writer.is_idle:
            return False
        self.is_closing = True
        self.closes_when_sent = True
        return True

    def expect_more(self, timeout_s: float, part: str) -> None:
        """Reject the request if the rest of a part takes too long."""
        reject = partial(self.reject_late, timeout_s, part)
        self.timeout.start(timeout_s, reject)

    def reject_late(self, timeout_s: float, part: str) -> None:
        """Reject a request whose rest is late, unless nothing is read."""
        if self.is_read_paused:
            self.expect_more(timeout_s, part)
            return
        self.reject(HTTPStatus.REQUEST_TIMEOUT, f'{part} not complete')

    def send_continue(self) -> None:
        """Send ``100 Continue``."""
        if not self.pending_requests and self.transport:
            self.writer.write_between(INTERIM_RESPONSE)

    def handle_request(
        self, request: CallerRequest, *, keep_alive: bool
    ) -> None:
        """Start serving a parsed request."""
        if self.is_closing:
            return
        self.timeout.stop()
        costs = self.reader.cost.settle()
        pending = PendingRequest(keep_alive, request.method, costs)
        self.pending_requests.append(pending)
        self.served += 1
        if self.server.is_leaving or not pending.keep_alive:
            self.stop_reading()
        else:
            self.pause_reading()
        self.starts.add(pending, request)

    async def serve(
        self, pending: PendingRequest, request: CallerRequest
    ) -> None:
        """Serve one request and write the responses that are due.

        An internal error gives a 502.
        """
        try:
            if not await confine('request', self.run_request, pending, request):
                pending.response = CallerResponse(HTTPStatus.BAD_GATEWAY)
        finally:
            self.starts.note_end()
        _drop_body(request)
        if self in self.server.connections and not self.claim.is_closed:
            self.hold_response(pending)
            self.write_responses()
        self.server.announce_change()

    async def run_request(
        self, pending: PendingRequest, request: CallerRequest
    ) -> None:
        """Get the response to a request, unless the caller disconnects."""
        with pending.scope:
            pending.response = await self.server.serve(request)

    def write_responses(self) -> None:
        """Write finished responses in request order."""
        with confined('connection', self.abort):
            while (
                self.pending_requests
                and self.pending_requests[0].response is not None
                and self.writer.is_idle
            ):
                pending = self.pending_requests.popleft()
                if self.transport is None or self.transport.is_closing():
                    return
                is_last = not self.pending_requests
                closes = is_last and self.is_closing
                if closes:
                    # A probe behind the last response would be a stray answer.
                    self.timeout.stop()
                self.write_response(pending, closes=closes)
                if closes:
                    return
            self.resume_reading()
            if not self.pending_requests and not self.reader.is_in_message:
                self.wait_for_request()

    def abort(self) -> None:
        """Close the connection at once; its requests are cancelled."""
        self.is_closing = True
        self.timeout.stop()
        if self.transport:
            self.transport.abort()

    def stop_reading(self) -> None:
        """Take no further request; the last response closes the connection.

        Received bytes are still taken from the socket: closing it with unread
        bytes would reset the connection and could lose the response.
        """
        self.is_closing = True
        self.is_read_paused = False
        self.received.drop()

    def close(self) -> None:
        """Half-close now and close the socket after ``CLOSE_LINGER_S``."""
        self.is_closing = True
        self.timeout.stop()
        if self.transport and not self.transport.is_closing():
            try:
                self.transport.write_eof()
            except OSError:
                # The caller has reset the connection since the last write.
                self.abort()
                return
            self.timeout.start(CLOSE_LINGER_S, self.transport.close)

    def close_if_idle(self) -> None:
        """Close the connection if no request is in flight or being read."""
        if not self.pending_requests and not self.reader.is_in_message:
            self.abandon()

    def abandon(self) -> None:
        """Close the connection without a further response."""
        self.is_closing = True
        if not self.writer.is_idle:
            self.closes_when_sent = True
        elif self.transport:
            self.transport.close()

    def reject(
        self,
        status: HTTPStatus,
        reason: str,
        response: CallerResponse | None = None,
    ) -> None:
        """Queue an error response behind those pending, then close.

        Parameters
        ----------
        status
            Status of the response.
        reason
            Why, for the log.
        response
            Response, if it has more than the status.
        """
        if self.is_closing:
            return
        self.stop_reading()
        pending = PendingRequest(keep_alive=False, method='GET')
        pending.response = response or CallerResponse(status)
        self.reader.release()
        self.pending_requests.append(pending)
        METRICS.count('rejected_total', status=status.value)
        log_event(
            Event.REFUSED,
            'WARNING',
            status=status.value,
            reason=reason,
            served=self.served,
            pending=len(self.pending_requests) - 1,
        )
        self.write_responses()

    def wait_for_request(self) -> None:
        """Start the idle timeout."""
        idle_s = self.server.limits().idle_timeout_s
        self.timeout.start(idle_s, self.close_if_idle)


def _drop_body(request: CallerRequest) -> None:
    """Free the body of a request at once, whatever still refers to it."""
    if isinstance(request.body, bytearray):
        # A target that has not read it all keeps a view until it is closed.
        with suppress(BufferError):
            request.body.clear()


def _log_unanswered(requests: int, exc: Exception | None) -> None:
    """Log a connection that ended with requests in flight."""
    METRICS.count('connections_lost_total')
    log_decision(
        Event.CANCELLED,
        requests=requests,
        cause=type(exc).__name__ if exc else 'closed',
    )
