"""Parses the HTTP requests of a connection within size limits."""

import re
from http import HTTPStatus
from typing import Protocol

import httptools

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import Seconds
from laburnumyard.core.routes import CallerLimits
from laburnumyard.gateway._http_messages import CallerRequest

# Request target with scheme and authority (RFC 9112, section 3.2.2).
ABSOLUTE_FORM = re.compile('https?://(?:[^/?#@]*@)?([^/?#@]*)(.*)', re.I)


class RequestReceiver(Protocol):
    """Receiver of parsed requests and parse errors."""

    def limits(self) -> CallerLimits:
        """Return the current size and time limits."""

    def expect_more(self, timeout_s: float, part: str) -> None:
        """Reject the request if the rest of a part takes too long.

        Parameters
        ----------
        timeout_s
            Time for the head, or for the next bytes of the body, in seconds.
        part
            What is not complete, for the log.
        """

    def send_continue(self) -> None:
        """Send ``100 Continue``."""

    def handle_request(
        self, request: CallerRequest, *, keep_alive: bool
    ) -> None:
        """Handle a complete request."""

    def reject(self, status: HTTPStatus, reason: str) -> None:
        """Reject malformed or oversized input with a status.

        Parameters
        ----------
        status
            Status of the response.
        reason
            Why, for the log.
        """


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
        # Whether the caller understands interim responses (1xx).
        self.allows_interim = True
        # Whether a head is parsed again without its offer to upgrade.
        self.is_parsed_again = False
        # Bytes received since a head or a part of a body was complete.
        self.head_bytes = 0
        self.begin_message()

    def feed(self, received: bytes) -> None:
        """Parse received bytes."""
        self.head_bytes += len(received)
        try:
            self.parse(received)
        except httptools.HttpParserCallbackError as fault:
            # The input is not at fault, but the receiver.
            raise fault.__context__ or fault from None
        except httptools.HttpParserError as error:
            self.receiver.reject(HTTPStatus.BAD_REQUEST, str(error))
        self.check_head()

    def parse(self, received: bytes) -> None:
        """Parse received bytes, and ignore offers to change the protocol.

        A server may ignore ``Upgrade`` (RFC 9110, section 7.8): the request is
        served, and what follows its head is HTTP/1.1 as before.
        """
        unparsed = received
        while unparsed:
            unparsed = unparsed[self.parse_until_offer(unparsed) :]

    def parse_until_offer(self, received: bytes) -> int:
        """Parse up to the end of a head that offers an upgrade.

        Returns
        -------
        int
            Number of bytes that were parsed.
        """
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserUpgrade as offer:
            self.ignore_offer()
            return int(offer.args[0])
        return len(received)

    def ignore_offer(self) -> None:
        """Parse a head again without its ``Upgrade`` header.

        httptools takes a request that offers an upgrade to have no body.
        """
        method = self.parser.get_method()
        if method == b'CONNECT':
            self.receiver.reject(HTTPStatus.METHOD_NOT_ALLOWED, 'CONNECT')
            return
        version = self.parser.get_http_version().encode()
        lines = [b'%b %b HTTP/%b' % (method, self.url, version)]
        lines.extend(
            f'{name}: {text}'.encode('latin-1')
            for name, text in self.headers
            if name != 'upgrade'
        )
        self.parser = httptools.HttpRequestParser(self)
        self.is_parsed_again = True
        self.parser.feed_data(b'\r\n'.join((*lines, b'', b'')))
        self.is_parsed_again = False

    def on_message_begin(self) -> None:
        """Handle the start of a request."""
        started_at = self.started_at if self.is_parsed_again else boot_time()
        self.begin_message()
        self.is_in_message = True
        self.started_at = started_at
        self.receiver.expect_more(self.limits.head_timeout_s, 'head')

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
        if self.parser.should_upgrade():
            return
        self.is_head_read = True
        self.head_bytes = 0
        self.allows_interim = self.parser.get_http_version() != '1.0'
        self.expect_body()
        fields = dict(self.headers)
        length = fields.get('content-length', '0')
        if self.field_bytes > self.limits.header_bytes:
            self.reject_head(self.field_bytes)
        elif length.isdecimal() and int(length) > self.limits.body_bytes:
            self.reject_body(length)
        elif fields.get('expect', '').lower() == '100-continue':
            self.receiver.send_continue()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.head_bytes = 0
        self.expect_body()
        self.body_bytes += len(body)
        if self.body_bytes > self.limits.body_bytes:
            self.reject_body(self.body_bytes)
        else:
            self.body.append(body)

    def on_message_complete(self) -> None:
        """Pass the complete request to the receiver."""
        if self.parser.should_upgrade():
            return
        self.is_in_message = False
        self.head_bytes = 0
        method = self.parser.get_method().decode('latin-1')
        keep_alive = self.parser.should_keep_alive()
        self.receiver.handle_request(
            self.request(method), keep_alive=keep_alive
        )

    def expect_body(self) -> None:
        """Let the body pause for as long as an idle connection."""
        self.receiver.expect_more(self.limits.idle_timeout_s, 'body')

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
        path = self.url.decode('latin-1')
        host = dict(self.headers).get('host', '')
        absolute = ABSOLUTE_FORM.fullmatch(path)
        if absolute:
            # The authority replaces the header.
            host, path = absolute.groups()
            path = path if path.startswith('/') else f'/{path}'
        return CallerRequest(
            method,
            path,
            host,
            tuple(self.headers),
            b''.join(self.body),
            self.started_at,
        )

    def check_head(self) -> None:
        """Reject an incomplete head that exceeds the limit."""
        if self.is_head_read or not self.is_in_message:
            return
        if self.head_bytes > self.limits.header_bytes:
            self.reject_head(self.head_bytes)

    def reject_head(self, size: int) -> None:
        """Reject a head that exceeds the limit."""
        self.receiver.reject(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            f'head of {size} bytes, limit {self.limits.header_bytes}',
        )

    def reject_body(self, size: int | str) -> None:
        """Reject a body that exceeds the limit."""
        self.receiver.reject(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'body of {size} bytes, limit {self.limits.body_bytes}',
        )
