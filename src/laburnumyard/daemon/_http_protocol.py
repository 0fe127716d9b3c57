"""The callers' side of HTTP/1.1: bounds, and a typed answer to bad bytes."""

import asyncio
from types import MappingProxyType
from typing import Any

from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
)

from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.ids import RequestId
from laburnumyard.daemon._coalescing_transport import CoalescingTransport
from laburnumyard.daemon._http_responses import encode_headers, error_response
from laburnumyard.schema._generated.settings import LimitSettings

# How long a caller that was refused may take to read why, in seconds.
REFUSAL_LINGER_S = 1
TICKET_HEADER = b'laburnumyard-ticket'
CLOSE_HEADER = MappingProxyType({b'connection': b'close'})
# Idle connections are many more than requests.
CONNECTIONS_PER_REQUEST = 2
NO_REQUEST_ID = RequestId('none')


class CallerProtocol(HttpToolsProtocol):
    """A caller's connection whose heads are bounded in size and time.

    A request that cannot be read to its end is answered, unless an earlier
    one on the connection still waits for its own answer, and the connection
    is closed: what follows could belong to any request.

    Parameters
    ----------
    limits
        Bounds on the head of a request; a head may take as long as a body.
    options
        What uvicorn gives its protocols.
    """

    def __init__(self, limits: LimitSettings, **options: Any) -> None:
        """Start before the first head."""
        super().__init__(**options)
        self.limits = limits
        self.is_refused = False
        self.is_reading_head = True
        # Bytes since the parser last completed a head, a body or a part.
        self.unread_bytes = 0
        self.head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close a connection on which nothing ever comes, or one too many."""
        super().connection_made(CoalescingTransport(transport, self.loop))
        limit = CONNECTIONS_PER_REQUEST * self.limits.callers
        if len(self.connections) > limit:
            self.transport.close()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive,
            self.timeout_keep_alive_handler,
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the timer of the head."""
        self._stop_timer()
        self._unset_keepalive_if_required()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take received bytes within the bounds."""
        if self.is_refused:
            return
        self.unread_bytes += len(data)
        super().data_received(data)
        if self.unread_bytes and not self.is_refused:
            self._enforce_unread_limit()

    def on_message_begin(self) -> None:
        """Note that a head has begun."""
        self.unread_bytes += 1
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Start to serve the request; trailers come too late for its head."""
        self.unread_bytes = 0
        self.is_reading_head = False
        self._stop_timer()
        super().on_headers_complete()
        self.headers = []
        if self.parser.should_upgrade():
            # The caller may be about to speak another protocol.
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.unread_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Wait for the next head."""
        self.unread_bytes = 0
        self.is_reading_head = True
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse bytes that are no request."""
        self._refuse(ErrorKind.BAD_REQUEST, 'send HTTP/1.1')

    def _unsupported_upgrade_warning(self) -> None:
        """Read nothing more after a request for another protocol."""
        self.is_refused = True

    def _enforce_unread_limit(self) -> None:
        limit = self.limits.header_bytes
        if self.unread_bytes > limit:
            kind = ErrorKind.BAD_REQUEST
            if self.is_reading_head:
                kind = ErrorKind.HEADERS_TOO_LARGE
            self._refuse(kind, f'send at most {limit} bytes')
        elif self.is_reading_head and self.head_timer is None:
            self._start_timer()

    def _start_timer(self) -> None:
        self.head_timer = self.loop.call_later(
            self.limits.body_timeout_s,
            self._expire_head,
        )

    def _stop_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _expire_head(self) -> None:
        if self._is_answer_due():
            # Reading rests while earlier requests are served.
            self._start_timer()
            return
        longest = self.limits.body_timeout_s
        detail = f'the head took over {longest} s'
        self._refuse(ErrorKind.SENDER_TOO_SLOW, detail)

    def _is_answer_due(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _refuse(self, kind: ErrorKind, detail: str) -> None:
        """Answer and close, after the answers that are due."""
        self.is_refused = True
        self._stop_timer()
        if self.transport.is_closing():
            return
        if self._is_answer_due():
            if not self.cycle.more_body:
                self.cycle.keep_alive = False
                return
            if self.pipeline:
                self.transport.close()
                return
            self._abandon_cycle()
        self._answer(Failure(kind, detail))

    def _abandon_cycle(self) -> None:
        """End the request whose body cannot be read to its end."""
        self.cycle.disconnected = True
        self.cycle.message_event.set()

    def _answer(self, failure: Failure) -> None:
        response = error_response(failure, NO_REQUEST_ID, self._known_ran())
        head = [STATUS_LINE[response.status]]
        headers = dict(encode_headers(response)) | CLOSE_HEADER
        head.extend(b'%b: %b\r\n' % pair for pair in headers.items())
        head.append(b'\r\n')
        self.transport.write(b''.join((*head, response.body)))
        # Closing at once could lose the answer to bytes that still come.
        self.transport.write_eof()
        self.loop.call_later(REFUSAL_LINGER_S, self.transport.close)

    def _known_ran(self) -> Ran | None:
        """Tell what may be promised; the head may have named a ticket."""
        is_whole = self.cycle is not None and not self.is_reading_head
        headers = self.cycle.scope['headers'] if is_whole else ()
        is_safe = is_whole and TICKET_HEADER not in dict(headers)
        return None if is_safe else Ran.UNKNOWN
