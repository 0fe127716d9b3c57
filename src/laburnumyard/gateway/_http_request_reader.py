"""Parses the HTTP requests of a connection within size limits."""

import re
from http import HTTPStatus
from typing import Protocol

import httptools

from laburnumyard.clocks import boot_time
from laburnumyard.core.ids import Seconds
from laburnumyard.core.memory_account import (
    HEADER_LINE_BYTES,
    SMALL_BYTES,
    Holder,
)
from laburnumyard.core.routes import CallerLimits
from laburnumyard.gateway._http_messages import CallerRequest
from laburnumyard.intake import (
    MIN_PART_BYTES,
    ParsingStoppedError,
    ReadingCost,
    is_costly_body,
)

# Request target with scheme and authority (RFC 9112, section 3.2.2).
ABSOLUTE_FORM = re.compile('https?://(?:[^/?#@]*@)?([^/?#@]*)(.*)', re.I)
# Header lines of a request; one has at least four bytes, so that the lines
# within the users' limit of 16,384 bytes are fewer.
MAX_HEADER_LINES = 4096
# Parts of a body, above which they must have this many bytes on average: each
# is a call, and many small ones occupy the event loop. It exceeds what arrives
# within a deadline.
MAX_SMALL_PARTS = 1_048_576
# Bytes that are parsed at once: a head may be followed by other requests, the
# rest of a body of known size may not.
HEAD_STEP_BYTES = 4096
CHUNKS_STEP_BYTES = 4096


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

    def draw(self, holder: Holder, size: int) -> bool:
        """Draw bytes from the memory account; return whether there are any.

        The caller has been refused or cut if there are none.
        """

    def give_back(self, holder: Holder, size: int) -> None:
        """Give bytes back to the memory account."""

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
        self.cost = ReadingCost(receiver.draw, receiver.give_back)
        self.has_received_body = False
        # Calls of the parser so far for header lines and parts of bodies.
        self.calls = 0
        self.begin_message()

    @property
    def costly_calls(self) -> int:
        """Parts of the body so far if they are many and small, else 0."""
        is_costly = is_costly_body(self.body_parts, self.body_bytes)
        return self.body_parts if is_costly else 0

    def step_bytes(self, received: int) -> int:
        """Return how many of the received bytes to parse at once."""
        if not self.is_head_read or not self.is_in_message:
            return HEAD_STEP_BYTES
        if self.body_length is None:
            return CHUNKS_STEP_BYTES
        return max(1, min(received, self.body_length - self.body_bytes))

    def feed(self, received: bytes | memoryview) -> None:
        """Parse received bytes."""
        self.head_bytes += len(received)
        self.has_received_body = False
        try:
            self.parse(received)
            if self.has_received_body and self.is_in_message:
                self.expect_body()
                self.cost.draw_body()
        except ParsingStoppedError:
            return
        except httptools.HttpParserCallbackError as fault:
            if isinstance(fault.__context__, ParsingStoppedError):
                return
            # The input is not at fault, but the receiver.
            raise fault.__context__ or fault from None
        except httptools.HttpParserError as error:
            self.receiver.reject(HTTPStatus.BAD_REQUEST, str(error))
        if self.is_in_message:
            self.check_head()

    def parse(self, received: bytes | memoryview) -> None:
        """Parse received bytes, and ignore offers to change the protocol.

        A server may ignore ``Upgrade`` (RFC 9110, section 7.8): the request is
        served, and what follows its head is HTTP/1.1 as before.
        """
        unparsed = received
        while unparsed:
            unparsed = unparsed[self.parse_until_offer(unparsed) :]

    def parse_until_offer(self, received: bytes | memoryview) -> int:
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
        if len(self.url) > self.limits.header_bytes:
            self.reject_head(len(self.url))
            raise ParsingStoppedError

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header; trailers are counted and discarded."""
        size = len(name) + len(text)
        self.calls += 1
        self.field_bytes += size
        if self.is_head_read:
            if self.field_bytes > self.limits.header_bytes:
                self.reject_head(self.field_bytes)
                raise ParsingStoppedError
            return
        self.headers.append(
            (name.decode('latin-1').lower(), text.decode('latin-1'))
        )
        self.cost.add_head(size + HEADER_LINE_BYTES)
        if len(self.headers) > MAX_HEADER_LINES:
            self.reject_head(len(self.headers), 'lines')
            raise ParsingStoppedError

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
        if 'transfer-encoding' not in fields and length.isdecimal():
            self.body_length = int(length)
        if self.field_bytes > self.limits.header_bytes:
            self.reject_head(self.field_bytes)
        elif length.isdecimal() and int(length) > self.limits.body_bytes:
            self.reject_body(length)
        elif fields.get('expect', '').lower() == '100-continue':
            self.receiver.send_continue()
        self.field_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.head_bytes = 0
        self.has_received_body = True
        size = len(body)
        self.body_bytes += size
        self.body_parts += 1
        self.calls += 1
        if self.body_bytes > self.limits.body_bytes:
            self.reject_body(self.body_bytes)
            raise ParsingStoppedError
        if self.body_parts > MAX_SMALL_PARTS:
            if self.body_bytes < self.body_parts * MIN_PART_BYTES:
                self.reject_body(self.body_bytes, f'{self.body_parts} parts')
                raise ParsingStoppedError
        self.cost.add_body(size)
        if not self.body:
            self.body = body
            return
        if isinstance(self.body, bytes):
            self.body = bytearray(self.body)
        self.body += body

    def on_message_complete(self) -> None:
        """Pass the complete request to the receiver."""
        if self.parser.should_upgrade():
            return
        self.head_bytes = 0
        method = self.parser.get_method().decode('latin-1')
        keep_alive = self.parser.should_keep_alive()
        self.receiver.handle_request(
            self.request(method), keep_alive=keep_alive
        )
        self.is_in_message = False

    def expect_body(self) -> None:
        """Let the body pause for as long as an idle connection."""
        self.receiver.expect_more(self.limits.idle_timeout_s, 'body')

    def begin_message(self) -> None:
        """Reset the state for the next request."""
        self.limits = self.receiver.limits()
        self.has_received_body = False
        if self.cost.drawn:
            self.cost.release()
        self.cost.undrawn = 0
        self.headers: list[tuple[str, str]] = []
        self.url = b''
        # One part of a body is kept as it is, several in one buffer.
        self.body: bytes | bytearray = b''
        self.body_bytes = 0
        self.body_parts = 0
        # None for a body in chunks.
        self.body_length: int | None = None
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
        request = CallerRequest(
            method,
            path,
            host,
            tuple(self.headers),
            _settled(self.body),
            self.started_at,
        )
        # The request holds the only reference to its body.
        self.body = b''
        return request

    def release(self) -> None:
        """Drop the request that is being read, and give its bytes back."""
        self.cost.release()
        self.headers = []
        self.body = b''

    def check_head(self) -> None:
        """Reject an incomplete head, or trailers, that exceed the limit."""
        if self.head_bytes > self.limits.header_bytes:
            self.reject_head(self.head_bytes)

    def reject_head(self, size: int, unit: str = 'bytes') -> None:
        """Reject a head that exceeds the limit."""
        self.receiver.reject(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            f'head of {size} {unit}, limit {self.limits.header_bytes} bytes',
        )

    def reject_body(self, size: int | str, kind: str = 'body') -> None:
        """Reject a body that exceeds a limit."""
        self.receiver.reject(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'{kind} of {size} bytes, limit {self.limits.body_bytes}',
        )


def _settled(body: bytes | bytearray) -> bytes | bytearray:
    """Return a complete body; a small one as ``bytes``."""
    if isinstance(body, bytearray) and len(body) <= SMALL_BYTES:
        return bytes(body)
    return body
