"""HTTP/1.1 protocol for callers: limits, and typed errors for bad input."""

import asyncio
from types import MappingProxyType
from typing import Any

from uvicorn.protocols.http.httptools_impl import STATUS_LINE

from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.ids import RequestId
from laburnumyard.daemon._caller_intake import CallerIntake
from laburnumyard.daemon._http_responses import encode_headers, error_response
from laburnumyard.daemon._metered_protocol import MeteredProtocol
from laburnumyard.schema._generated.settings import LimitSettings

# How long the connection stays open for a refused caller to read the error.
REFUSAL_LINGER_S = 1
TICKET_HEADER = b'laburnumyard-ticket'
CLOSE_HEADER = MappingProxyType({b'connection': b'close'})
# Leaves room for idle connections, which outnumber requests.
CONNECTIONS_PER_REQUEST = 2
NO_REQUEST_ID = RequestId('none')


class CallerProtocol(MeteredProtocol):
    """A caller's connection with limits on request heads in size and time.

    A request that cannot be read to its end gets an error response, unless an
    earlier one on the connection still waits for its response, and the
    connection is closed: the following bytes could belong to any request.

    Parameters
    ----------
    limits
        Limits on the head of a request; the body timeout applies to heads too.
    intake
        Memory account and turns of parsing that connections share.
    options
        Arguments that uvicorn passes to its protocols.
    """

    def __init__(
        self, limits: LimitSettings, intake: CallerIntake, **options: Any
    ) -> None:
        """Initialise before the first request head."""
        super().__init__(intake, **options)
        self.limits = limits
        self.head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the connections, and close one that stays silent."""
        super().connection_made(transport)
        limit = CONNECTIONS_PER_REQUEST * self.limits.callers
        if len(self.connections) > limit:
            self.transport.close()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive,
            self.timeout_keep_alive_handler,
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers of the connection."""
        self._stop_timer()
        self._unset_keepalive_if_required()
        super().connection_lost(exc)

    def feed(self, received: bytes | memoryview) -> None:
        """Parse bytes within the limits on heads."""
        self.unread_bytes += len(received)
        super().feed(received)
        if self.unread_bytes and not self.is_refused:
            self._enforce_unread_limit()

    def on_message_begin(self) -> None:
        """Count the start of a request head as unread."""
        self.unread_bytes += 1
        self.sizes.begin()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Start serving the request; ignore trailers."""
        self.unread_bytes = 0
        self._stop_timer()
        super().on_headers_complete()
        self.headers = []
        if self.parser.should_upgrade():
            # The caller may switch to another protocol.
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        self.unread_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Expect the next request head."""
        self.unread_bytes = 0
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse bytes that are not an HTTP request."""
        if self.is_refused:
            # A callback has stopped the parser.
            return
        self._refuse(ErrorKind.BAD_REQUEST, 'send HTTP/1.1')

    def _unsupported_upgrade_warning(self) -> None:
        """Stop reading after a request to upgrade the protocol."""
        self.is_refused = True

    def _enforce_unread_limit(self) -> None:
        limit = self.limits.header_bytes
        if self.unread_bytes > limit:
            kind = ErrorKind.BAD_REQUEST
            if self.sizes.is_reading_head:
                kind = ErrorKind.HEADERS_TOO_LARGE
            self._refuse(kind, f'send at most {limit} bytes')
        elif self.sizes.is_reading_head and self.head_timer is None:
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
            # Reading is paused while earlier requests are served.
            self._start_timer()
            return
        longest = self.limits.body_timeout_s
        detail = f'the head took longer than {longest} s'
        self._refuse(ErrorKind.SENDER_TOO_SLOW, detail)

    def _refuse(self, kind: ErrorKind, detail: str) -> None:
        """Send an error and close, after the responses that are due."""
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
        """End a request whose body cannot be read to its end."""
        self.cycle.disconnected = True
        self.cycle.message_event.set()

    def _answer(self, failure: Failure) -> None:
        response = error_response(failure, NO_REQUEST_ID, self._known_ran())
        head = [STATUS_LINE[response.status]]
        headers = dict(encode_headers(response)) | CLOSE_HEADER
        head.extend(b'%b: %b\r\n' % pair for pair in headers.items())
        head.append(b'\r\n')
        self.transport.write(b''.join((*head, response.body)))
        # Closing immediately could reset the connection on incoming bytes and
        # lose the response.
        self.transport.write_eof()
        self.loop.call_later(REFUSAL_LINGER_S, self.transport.close)

    def _known_ran(self) -> Ran | None:
        """Return Ran.UNKNOWN if the head may have carried a ticket."""
        is_whole = self.cycle is not None and not self.sizes.is_reading_head
        headers = self.cycle.scope['headers'] if is_whole else ()
        is_safe = is_whole and TICKET_HEADER not in dict(headers)
        return None if is_safe else Ran.UNKNOWN
