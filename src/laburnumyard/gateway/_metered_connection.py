"""Connection of a caller whose bytes are drawn from the memory account.

It holds received bytes that are not parsed yet, requests that are served, and
responses that the caller has not read. Reading pauses while it holds more than
its share, and responses wait until the caller has read the one before.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from types import MappingProxyType
from typing import Protocol

import anyio

from laburnumyard.clocks import boot_time
from laburnumyard.core.memory_account import (
    HEADER_LINE_BYTES,
    SMALL_BYTES,
    Holder,
    MemoryAccount,
    MemoryClaim,
)
from laburnumyard.gateway._http_messages import (
    CallerResponse,
    refuse_request,
)
from laburnumyard.gateway._http_request_reader import RequestReader
from laburnumyard.gateway._task_supervision import confined
from laburnumyard.intake import (
    AT_ONCE_BYTES,
    CALLS_AT_ONCE,
    ParsingQueue,
    ReceiveBuffer,
)
from laburnumyard.telemetry import METRICS, Event, log_event
from laburnumyard.transport import PIECE_BYTES, PacedWriter

# Concurrent requests on one connection; reading pauses at this limit.
MAX_PIPELINED_REQUESTS = 64
# Delay before a caller that was refused for lack of memory may come back: what
# is being received has ended or was cut by then.
MEMORY_RETRY_S = 1.0
REASON_PHRASES = MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus}
)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request in flight on a connection, and its response once known.

    Attributes
    ----------
    costs
        Bytes drawn for it, by holder.
    response_cost
        Bytes drawn for its response.
    """

    keep_alive: bool
    method: str
    costs: tuple[tuple[Holder, int], ...] = ()
    response_cost: int = 0
    response: CallerResponse | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class ConnectionOwner(Protocol):
    """Server of connections."""

    account: MemoryAccount
    parsing_queue: ParsingQueue
    socket_buffer_bytes: int

    def announce_change(self) -> None:
        """Wake who waits for connections to end."""


class MeteredConnection(asyncio.Protocol):
    """What a connection holds, in both directions.

    Parameters
    ----------
    server
        Server that accepted the connection.
    """

    def __init__(self, server: ConnectionOwner) -> None:
        """Create the state of a connection that holds nothing."""
        self.account = server.account
        self.announce_change = server.announce_change
        self.claim = MemoryClaim(self.account)
        self.confined = partial(confined, 'connection', self.abort)
        self.reader: RequestReader
        self.writer = PacedWriter()
        self.transport: asyncio.Transport | None = None
        self.pending_requests: deque[PendingRequest] = deque()
        self.active_at = boot_time()
        # Set with the last request; received bytes are ignored from then on.
        self.is_closing = False
        # Whether requests wait until others have ended.
        self.is_read_paused = False
        self.received: ReceiveBuffer
        # Bytes drawn for responses that are not sent whole.
        self.unsent_cost = 0
        # Whether to close the connection when all is sent.
        self.closes_when_sent = False

    def abort(self) -> None:
        """Close the connection at once; its requests are cancelled."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the connection after what was written."""
        raise NotImplementedError

    def reject(
        self,
        status: HTTPStatus,
        reason: str,
        response: CallerResponse | None = None,
    ) -> None:
        """Queue an error response behind those pending, then close."""
        raise NotImplementedError

    def write_responses(self) -> None:
        """Write finished responses in request order."""
        raise NotImplementedError

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.is_closing:
            return
        self.active_at = boot_time()
        if len(data) > AT_ONCE_BYTES:
            self.claim.note_progress(len(data), self.active_at)
        self.received.receive(data)

    def pause_reading(self) -> None:
        """Take no request if the connection holds enough."""
        if not (self.has_enough and self.transport):
            return
        self.is_read_paused = True
        if len(self.pending_requests) >= MAX_PIPELINED_REQUESTS:
            self.received.pause_transport()

    def resume_reading(self) -> None:
        """Take requests again, if the connection holds little enough."""
        if not self.is_read_paused or self.has_enough or not self.transport:
            return
        self.is_read_paused = False
        self.received.parse_some(CALLS_AT_ONCE)

    @property
    def has_enough(self) -> bool:
        """Whether to take no further request until others have ended."""
        if len(self.pending_requests) >= MAX_PIPELINED_REQUESTS:
            return True
        has_others = bool(self.pending_requests or self.unsent_cost)
        held = self.claim.total_bytes - self.received.cost
        return has_others and held > self.account.share_bytes

    def draw(self, holder: Holder, size: int) -> bool:
        """Draw bytes from the memory account; return whether there are any.

        Without any, this connection was cut, or nothing else could be.
        """
        if self.claim.draw(holder, size):
            return True
        self.cut('memory')
        return False

    def give_back(self, holder: Holder, size: int) -> None:
        """Give bytes back to the memory account."""
        self.claim.give_back(holder, size)

    def hold_response(self, pending: PendingRequest) -> None:
        """Hold the response to a request in place of the request.

        A small one that can be written at once is not drawn from the account.
        """
        for holder, size in pending.costs:
            self.give_back(holder, size)
        response = pending.response
        if response is None:
            return
        is_next = self.writer.is_idle and self.pending_requests[0] is pending
        if is_next and len(response.body) <= SMALL_BYTES:
            return
        cost = _cost_of(response)
        if self.draw(Holder.RESPONSES, cost):
            pending.response_cost = cost

    def write_response(self, pending: PendingRequest, *, closes: bool) -> None:
        """Write a response, and close the connection when it is sent."""
        response = pending.response or CallerResponse(HTTPStatus.BAD_GATEWAY)
        self.unsent_cost += pending.response_cost
        self.closes_when_sent = closes
        content = b'' if pending.method == 'HEAD' else response.body
        self.writer.write(encode_head(response, closes=closes), content)
        if self.writer.is_idle:
            self.note_sent()
        elif not pending.response_cost:
            cost = _cost_of(response)
            if self.draw(Holder.RESPONSES, cost):
                self.unsent_cost += cost

    def pause_writing(self) -> None:
        """Write no more until the caller reads."""
        self.writer.pause()

    def resume_writing(self) -> None:
        """Write more, as the socket has taken all bytes that were written."""
        self.active_at = boot_time()
        self.claim.note_progress(PIECE_BYTES, self.active_at)
        with confined('connection', self.abort):
            self.writer.resume()
            if self.writer.is_idle:
                self.note_sent()
                self.write_responses()
        self.announce_change()

    def note_sent(self) -> None:
        """Give back what was held for responses, as they are sent."""
        if self.unsent_cost:
            self.give_back(Holder.RESPONSES, self.unsent_cost)
            self.unsent_cost = 0
        if self.closes_when_sent:
            self.closes_when_sent = False
            self.close()

    def note_state(self) -> None:
        """Note whether cutting the connection ends a request that runs."""
        is_mostly_read = 2 * self.reader.cost.drawn > self.claim.total_bytes
        is_running = any(
            pending.response is None for pending in self.pending_requests
        )
        self.claim.is_forwarded = is_running and not is_mostly_read

    def cut(self, reason: str) -> None:
        """End what a caller does, as others need what it holds.

        A request that was not received whole has not run and is refused.
        Otherwise the connection is closed.
        """
        if self.claim.is_closed:
            return
        is_free = not (self.pending_requests or self.is_closing)
        is_refused = is_free and self.reader.is_in_message
        METRICS.count('cuts_total', reason=reason)
        log_event(
            Event.CUT,
            'WARNING',
            reason=reason,
            held=self.claim.total_bytes,
            pending=len(self.pending_requests),
            refused=is_refused,
            used=self.account.used_bytes,
        )
        self.release()
        if is_refused and self.writer.is_idle:
            refusal = refuse_request(reason, MEMORY_RETRY_S).response
            self.reject(HTTPStatus.SERVICE_UNAVAILABLE, reason, refusal)
        else:
            self.abort()

    def release(self) -> None:
        """Hold nothing any longer."""
        self.claim.close()
        self.reader.release()
        self.writer.drop()
        self.received.forget()


def encode_head(response: CallerResponse, *, closes: bool) -> bytes:
    """Return the head of a response as HTTP/1.1 bytes.

    Parameters
    ----------
    response
        Response whose head is encoded.
    closes
        Whether the connection is closed after the response.
    """
    phrase = REASON_PHRASES.get(response.status, 'Unknown')
    lines = [f'HTTP/1.1 {response.status} {phrase}']
    lines.extend(f'{name}: {text}' for name, text in response.headers)
    lines.append(f'content-length: {len(response.body)}')
    if closes:
        lines.append('connection: close')
    return '\r\n'.join((*lines, '', '')).encode('latin-1')


def _cost_of(response: CallerResponse) -> int:
    return len(response.body) + len(response.headers) * HEADER_LINE_BYTES
