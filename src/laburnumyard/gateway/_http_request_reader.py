"""Parses the HTTP requests of a connection within size limits."""

from http import HTTPStatus
from typing import Protocol

import httptools

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import Seconds
from laburnumyard.core.routes import CallerLimits
from laburnumyard.gateway._http_messages import CallerRequest


class RequestReceiver(Protocol):
    """Receiver of parsed requests and parse errors."""

    def limits(self) -> CallerLimits:
        """Return the current size and time limits."""

    def on_request_start(self) -> None:
        """Handle the first byte of a request."""

    def send_continue(self) -> None:
        """Send ``100 Continue``."""

    def handle_request(
        self, request: CallerRequest, *, keep_alive: bool
    ) -> None:
        """Handle a complete request."""

    def reject(self, status: HTTPStatus) -> None:
        """Reject malformed or oversized input with a status."""


class RequestReader:
    """Collects requests from the callbacks of httptools.

    Parameters
    ----------
    receiver
        Gets each request, or the status of the first error.
    """

    def __init__(self, receiver: RequestReceiver) -> None:
        """Create a reader that waits for the first request."""
        self.receiver = receiver
        self.parser = httptools.HttpRequestParser(self)
        self.is_in_message = False
        # Bytes received since a head or a part of a body was complete.
        self.head_bytes = 0
        self.begin_message()

    def feed(self, received: bytes) -> None:
        """Parse received bytes."""
        self.head_bytes += len(received)
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserCallbackError as fault:
            # The input is not at fault, but the receiver.
            raise fault.__context__ or fault from None
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.receiver.reject(HTTPStatus.BAD_REQUEST)
        self.check_head()

    def on_message_begin(self) -> None:
        """Handle the start of a request."""
        self.begin_message()
        self.is_in_message = True
        self.started_at = boot_time()
        self.receiver.on_request_start()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.url += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header."""
        self.field_bytes += len(name) + len(text)
        self.headers.append(
            (name.decode('latin-1').lower(), text.decode('latin-1'))
        )

    def on_headers_complete(self) -> None:
        """Check the size limits and answer ``Expect: 100-continue``."""
        self.is_head_read = True
        self.head_bytes = 0
        fields = dict(self.headers)
        length = fields.get('content-length', '0')
        if self.field_bytes > self.limits.header_bytes:
            self.receiver.reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif length.isdecimal() and int(length) > self.limits.body_bytes:
            self.receiver.reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif fields.get('expect', '').lower() == '100-continue':
            self.receiver.send_continue()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.head_bytes = 0
        self.body_bytes += len(body)
        if self.body_bytes > self.limits.body_bytes:
            self.receiver.reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            self.body.append(body)

    def on_message_complete(self) -> None:
        """Pass the complete request to the receiver."""
        self.is_in_message = False
        self.head_bytes = 0
        method = self.parser.get_method().decode('latin-1')
        keep_alive = self.parser.should_keep_alive()
        self.receiver.handle_request(
            self.request(method), keep_alive=keep_alive
        )

    def begin_message(self) -> None:
        """Reset the state for the next request."""
        self.limits = self.receiver.limits()
        self.url = b''
        self.headers: list[tuple[str, str]] = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.field_bytes = 0
        self.is_head_read = False
        self.started_at = Seconds(0)

    def request(self, method: str) -> CallerRequest:
        """Return the parsed request."""
        fields = dict(self.headers)
        return CallerRequest(
            method,
            self.url.decode('latin-1'),
            fields.get('host', ''),
            tuple(self.headers),
            b''.join(self.body),
            self.started_at,
        )

    def check_head(self) -> None:
        """Reject an incomplete head that exceeds the limit."""
        if self.is_head_read or not self.is_in_message:
            return
        if self.head_bytes > self.limits.header_bytes:
            self.receiver.reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
