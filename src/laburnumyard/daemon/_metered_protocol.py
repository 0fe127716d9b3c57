"""HTTP/1.1 protocol whose connections draw from the memory account."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from functools import partial
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from laburnumyard.clocks import boot_time
from laburnumyard.core.errors import ErrorKind
from laburnumyard.core.memory_account import (
    CONNECTION_BYTES,
    Holder,
    MemoryClaim,
)
from laburnumyard.daemon._caller_intake import CallerIntake
from laburnumyard.daemon._coalescing_transport import CoalescingTransport
from laburnumyard.daemon._request_costs import RequestCosts
from laburnumyard.daemon._request_sizes import RequestSizes
from laburnumyard.intake import (
    AT_ONCE_BYTES,
    CALLS_AT_ONCE,
    ParsingStoppedError,
    ReadingCost,
    ReceiveBuffer,
)
from laburnumyard.telemetry._log import Event, log_event

# Pipelined bytes that wait for a response while the connection reads on.
READ_AHEAD_BYTES = 16_384


class ResponseFlow(FlowControl):
    """Flow control of responses; bodies are bounded by the memory account."""

    def pause_reading(self) -> None:
        """Read on, as ``ReceiveBuffer`` decides when to pause."""

    def resume_reading(self) -> None:
        """Leave reading as it is."""


class MeteredProtocol(HttpToolsProtocol):
    """A connection that draws what it holds from the account of its process.

    One request is served at a time; what follows it waits in a buffer until the
    caller has read the response.

    Parameters
    ----------
    intake
        Memory account and turns of parsing that connections share.
    options
        Arguments that uvicorn passes to its protocols.
    """

    def __init__(self, intake: CallerIntake, **options: Any) -> None:
        """Initialise before the first request head."""
        super().__init__(**options)
        self.intake = intake
        self.address = ''
        self.active_at = boot_time()
        self.confined = partial(confined, self.abort)
        self.claim = MemoryClaim(intake.account)
        self.give_back = self.claim.give_back
        self.costs = RequestCosts(
            ReadingCost(self.draw, self.give_back), self.claim
        )
        self.sizes = RequestSizes(self.feed)
        self.received = ReceiveBuffer(
            self,
            self.sizes,
            intake.parsing_queue,
            intake.bounds.callers.socket_buffer_bytes,
            READ_AHEAD_BYTES,
        )
        # Requests without a response, in order.
        self.unanswered: deque[RequestResponseCycle] = deque()
        # Bytes drawn for a response that the caller has not read.
        self.unsent_cost = 0
        self.on_closed: Callable[[], None] | None = None
        # Whether received bytes are ignored, as the connection will be closed.
        self.is_refused = False
        # Bytes received since the parser last completed a head, body or part.
        self.unread_bytes = 0

    @property
    def is_closing(self) -> bool:
        """Whether received bytes are ignored."""
        return self.is_refused or self.transport.is_closing()

    @property
    def is_read_paused(self) -> bool:
        """Whether the next request waits for an earlier response."""
        is_served = self._is_answer_due() and not self.cycle.more_body
        return is_served or bool(self.unsent_cost)

    def _is_answer_due(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def draw(self, holder: Holder, size: int) -> bool:
        """Draw bytes from the memory account, or cut this connection."""
        if self.claim.draw(holder, size):
            return True
        self.cut('memory')
        return False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        transport.set_write_buffer_limits(high=0)
        super().connection_made(CoalescingTransport(transport, self.loop))
        self.flow = ResponseFlow(self.transport)
        self.intake.connections.add(self)
        self.draw(Holder.CONNECTIONS, CONNECTION_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Hold nothing any longer."""
        self.intake.connections.discard(self)
        self.intake.parsing_queue.discard(self.received)
        self._release()
        # uvicorn tells only the request that was read last.
        for cycle in self.unanswered:
            cycle.disconnected = True
            cycle.message_event.set()
        super().connection_lost(exc)
        if self.on_closed is not None:
            self.on_closed()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes within the limits, or keep them for later."""
        if self.is_refused:
            return
        self.active_at = boot_time()
        if len(data) > AT_ONCE_BYTES:
            self.claim.note_progress(len(data), self.active_at)
        self.received.receive(data)

    def feed(self, received: bytes | memoryview) -> None:
        """Parse bytes."""
        HttpToolsProtocol.data_received(self, received)
        if self.is_refused or self.sizes.is_reading_head:
            return
        with suppress(ParsingStoppedError):
            self.costs.cost.draw_body()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are counted and discarded."""
        self.sizes.calls += 1
        if self.sizes.is_reading_head:
            self.costs.add_header(name, value)
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Expect a body."""
        self.sizes.finish_head(self.headers)
        super().on_headers_complete()
        self.unanswered.append(self.cycle)

    def on_body(self, body: bytes) -> None:
        """Count and pass on a part of the body."""
        self.sizes.add_part(len(body))
        if not self.cycle.response_complete:
            self.costs.add_body(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Hold the request until its response is known."""
        self.sizes.is_reading_head = True
        is_answered = self.cycle.response_complete
        self.costs.finish_request(is_answered=is_answered)
        self.claim.is_forwarded = not is_answered
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Give back what the request held, and hold what is not sent."""
        self.unanswered.popleft()
        self.costs.finish_response()
        self.claim.is_forwarded = bool(self.pipeline)
        super().on_response_complete()
        # Behind the call that writes what was gathered.
        self.loop.call_soon(self.note_written)

    def resume_writing(self) -> None:
        """Go on, as the socket has taken all that was written."""
        super().resume_writing()
        self.active_at = boot_time()
        self.note_written()

    def note_written(self) -> None:
        """Hold what the caller has not read, or take its next request."""
        unsent = self.transport.get_write_buffer_size()
        if unsent > self.unsent_cost:
            if self.draw(Holder.RESPONSES, unsent - self.unsent_cost):
                self.unsent_cost = unsent
        elif not unsent:
            self.claim.give_back(Holder.RESPONSES, self.unsent_cost)
            self.unsent_cost = 0
            if not self.is_closing:
                self.received.parse_some(CALLS_AT_ONCE)

    def cut(self, reason: str) -> None:
        """Refuse the request that is being read, or close the connection."""
        if self.claim.is_closed:
            return
        is_refused = bool(self.unread_bytes) or not self.sizes.is_reading_head
        log_event(
            Event.CUT,
            'WARNING',
            reason=reason,
            held=self.claim.total_bytes,
            refused=is_refused,
            used=self.intake.account.used_bytes,
        )
        self.intake.on_cut(reason)
        is_due = self.is_read_paused
        self.received.drop()
        self._release()
        if is_due or not is_refused:
            self.abort()
        else:
            self._refuse(ErrorKind.OVERLOADED, f'cut for {reason}')

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_refused = True
        self.transport.abort()

    def _release(self) -> None:
        """Hold nothing any longer."""
        self.claim.close()
        self.received.forget()
        self.unsent_cost = 0

    def _refuse(self, kind: ErrorKind, detail: str) -> None:
        """Send an error and close, after the responses that are due."""
        raise NotImplementedError


@contextmanager
def confined(on_fault: Callable[[], None]) -> Iterator[None]:
    """Log an exception of the block instead of raising it.

    Parameters
    ----------
    on_fault
        Called after an exception.
    """
    try:
        yield
    except Exception as fault:
        log_event(Event.FAULT, 'ERROR', work='connection', error=repr(fault))
        on_fault()
