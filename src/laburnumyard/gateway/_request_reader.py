"""Reads the requests of a connection, within bounds."""

from http import HTTPStatus
from typing import Protocol

import httptools

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import Seconds
from laburnumyard.core.routes import CallerLimits
from laburnumyard.gateway._http_messages import CallerRequest


class RequestReceiver(Protocol):
    """Who gets what was read."""

    def limits(self) -> CallerLimits:
        """Return the bounds in force."""

    def on_request_start(self) -> None:
        """Note the start of a request."""

    def send_continue(self) -> None:
        """Tell a caller that waits for it to send the body."""

    def handle_request(
        self, request: CallerRequest, *, keep_alive: bool
    ) -> None:
        """Take a whole request."""

    def reject(self, status: HTTPStatus) -> None:
        """Take the end of a connection whose bytes are no request."""


class RequestReader:
    """Feeds the parser of uvicorn and keeps what it finds.

    Parameters
    ----------
    taker
        Gets each request, or the status of the first fault.
    """

    def __init__(self, receiver: RequestReceiver) -> None:
        """Start before the first request."""
        self.receiver = receiver
        self.parser = httptools.HttpRequestParser(self)
        self.is_in_message = False
        # Bytes since a head, a body or a part of one was complete.
        self.head_bytes = 0
        self.begin_message()

    def feed(self, received: bytes) -> None:
        """Take received bytes."""
        self.head_bytes += len(received)
        try:
            self.parser.feed_data(received)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.receiver.reject(HTTPStatus.BAD_REQUEST)
        self.check_head()

    def on_message_begin(self) -> None:
        """Note the start of a request."""
        self.begin_message()
        self.is_in_message = True
        self.started_at = boot_time()
        self.receiver.on_request_start()

    def on_url(self, url: bytes) -> None:
        """Take a part of the path."""
        self.url += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        self.field_bytes += len(name) + len(text)
        self.headers.append(
            (name.decode('latin-1').lower(), text.decode('latin-1'))
        )

    def on_headers_complete(self) -> None:
        """Check the head, and ask for the body where the caller waits."""
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
        """Take a part of the body."""
        self.head_bytes = 0
        self.body_bytes += len(body)
        if self.body_bytes > self.limits.body_bytes:
            self.receiver.reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            self.body.append(body)

    def on_message_complete(self) -> None:
        """Hand the request on."""
        self.is_in_message = False
        self.head_bytes = 0
        method = self.parser.get_method().decode('latin-1')
        keep_alive = self.parser.should_keep_alive()
        self.receiver.handle_request(
            self.request(method), keep_alive=keep_alive
        )

    def begin_message(self) -> None:
        """Forget the request before."""
        self.limits = self.receiver.limits()
        self.url = b''
        self.headers: list[tuple[str, str]] = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.field_bytes = 0
        self.is_head_read = False
        self.started_at = Seconds(0)

    def request(self, method: str) -> CallerRequest:
        """Return the request that was read."""
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
        """Refuse a head over the limit."""
        if self.is_head_read or not self.is_in_message:
            return
        if self.head_bytes > self.limits.header_bytes:
            self.receiver.reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
