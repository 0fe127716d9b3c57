"""Parser of the responses of one target connection, with size limits."""

from enum import Enum

import httptools

from laburnumyard.transport._paced_writer import PIECE_BYTES
from laburnumyard.transport._response_memory import ResponseMemory
from laburnumyard.transport._target_exchange import (
    FINAL_STATUSES,
    INTERIM_STATUSES,
    FailureKind,
    TargetResponse,
)

MAX_HEAD_BYTES = 65_536
# Each header counts as this many bytes more than it has, for its objects.
HEADER_OVERHEAD_BYTES = 64
# A body may have this many parts, and one more for each ``PART_BYTES`` of the
# largest one: each is a call, and many small ones occupy the event loop.
MIN_BODY_PARTS = 1024
PART_BYTES = 1024
# Interim responses (1xx) before a response; one or two are usual.
MAX_INTERIM_RESPONSES = 16
# Headers that determine where a response ends.
FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))


class ResponseState(Enum):
    """Progress of the response to the request in flight."""

    IDLE = 'idle'
    WAITING = 'waiting'
    WHOLE = 'whole'
    FAILED = 'failed'


class _ParsingStoppedError(Exception):
    """Raised in a callback of httptools to leave the rest unparsed."""


class ResponseParser:
    """Collects one response at a time from the callbacks of httptools.

    Bytes without a request in flight, or after the end of its response, are a
    failure, so that no byte can become part of another request's response.

    A final status outside 200 to 599, or 101, is a failure as soon as it is
    read. After an interim response the final one is awaited for as long as
    without it: a target may announce that it works and then work for long.
    More than ``MAX_INTERIM_RESPONSES`` of them, or the end of the connection,
    are a failure at once.

    Parameters
    ----------
    max_body_bytes
        Largest accepted body, in bytes.
    memory
        Bound on the incomplete responses of all connections, if there is one.
    """

    def __init__(
        self, max_body_bytes: int, memory: ResponseMemory | None = None
    ) -> None:
        """Create a parser without a request in flight."""
        self.max_body_bytes = max_body_bytes
        self.memory = memory or ResponseMemory(max_body_bytes)
        self.held_bytes = 0
        self.state = ResponseState.IDLE
        self.failure = FailureKind.MALFORMED
        self.failure_detail = ''
        self.is_reusable = True
        self.parser = httptools.HttpResponseParser(self)
        self._expect(is_head=False)

    def expect(self, is_head: bool) -> None:
        """Prepare for the response to a request.

        Parameters
        ----------
        is_head
            Whether the response has no body, as after HEAD.
        """
        self._expect(is_head)
        self.state = ResponseState.WAITING

    def feed(self, received: bytes) -> ResponseState:
        """Parse received bytes and return the state of the response."""
        self.unparsed_bytes += len(received)
        self.received_bytes += len(received)
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserCallbackError:
            # A callback has recorded the failure.
            self.is_reusable = False
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._record_failure(FailureKind.MALFORMED)
        is_oversized = (
            self.received_bytes > self.max_body_bytes + MAX_HEAD_BYTES
        )
        if is_oversized or self.unparsed_bytes > MAX_HEAD_BYTES:
            self._record_failure(FailureKind.TOO_LARGE)
        if self.is_head and self.state is ResponseState.WHOLE:
            # httptools would still expect the body.
            self.parser = httptools.HttpResponseParser(self)
        return self.state

    def finish(self) -> ResponseState:
        """Handle the end of the stream and return the response's state.

        It completes a response without a length; any other response stays
        incomplete.
        """
        self.is_reusable = False
        is_waiting = self.state is ResponseState.WAITING
        if is_waiting and self.is_head_read and not self.is_framed:
            self.state = ResponseState.WHOLE
        return self.state

    def take(self) -> TargetResponse:
        """Return the complete response and reset the state to idle."""
        self.state = ResponseState.IDLE
        # A large body is passed on without a second copy.
        is_small = len(self.body) <= PIECE_BYTES
        body = bytes(self.body) if is_small else self.body
        headers = tuple(self.headers)
        self.discard()
        return TargetResponse(self.status, headers, body)

    def discard(self) -> None:
        """Drop the headers and the body received so far."""
        self.memory.release(self.held_bytes)
        self.held_bytes = 0
        self.headers: list[tuple[str, str]] = []
        self.body = bytearray()

    def on_message_begin(self) -> None:
        """Fail on a response without a request in flight."""
        if self.state is not ResponseState.WAITING:
            self._fail(FailureKind.MALFORMED)

    def on_status(self, _: bytes) -> None:
        """Fail on an invalid status, which the rest need not follow."""
        self._check_status()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header of the expected response."""
        self.unparsed_bytes = 0
        if self.state is not ResponseState.WAITING:
            return
        size = len(name) + len(text) + HEADER_OVERHEAD_BYTES
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            self._fail(FailureKind.TOO_LARGE)
        self._reserve(size)
        header = (name.decode('latin-1').lower(), text.decode('latin-1'))
        self.is_framed = self.is_framed or header[0] in FRAMING_HEADERS
        self.headers.append(header)

    def on_headers_complete(self) -> None:
        """Store the status; a response to HEAD ends here."""
        self.unparsed_bytes = 0
        if self.state is not ResponseState.WAITING:
            return
        # Without a reason phrase, ``on_status`` is not called.
        self._check_status()
        self.status = self.parser.get_status_code()
        self.is_head_read = not self._is_interim()
        if self.is_head and not self._is_interim():
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self.unparsed_bytes = 0
        self.body_bytes += len(body)
        self.body_parts += 1
        if self.state is not ResponseState.WAITING:
            self._fail(FailureKind.MALFORMED)
        if self._is_body_oversized():
            self._fail(FailureKind.TOO_LARGE)
        self._reserve(len(body))
        self.body += body

    def on_message_complete(self) -> None:
        """Complete the response, unless its status is 1xx."""
        self.unparsed_bytes = 0
        if self._is_interim():
            self.headers.clear()
            self.is_framed = False
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                self._fail(FailureKind.TOO_LARGE)
            return
        if self.state is ResponseState.WAITING:
            self._complete()

    def _expect(self, is_head: bool) -> None:
        self.is_head = is_head
        self.status = 0
        self.is_head_read = False
        self.is_framed = False
        self.discard()
        self.interim_responses = 0
        self.head_bytes = 0
        self.body_bytes = 0
        self.body_parts = 0
        self.received_bytes = 0
        # Bytes that httptools buffers until a header is complete.
        self.unparsed_bytes = 0

    def _is_body_oversized(self) -> bool:
        max_parts = MIN_BODY_PARTS + self.max_body_bytes // PART_BYTES
        is_split = self.body_parts > max_parts
        return is_split or self.body_bytes > self.max_body_bytes

    def _reserve(self, size: int) -> None:
        if not self.memory.reserve(size, self.held_bytes):
            self._fail(FailureKind.TOO_LARGE)
        self.held_bytes += size

    def _check_status(self) -> None:
        status = self.parser.get_status_code()
        is_valid = status in FINAL_STATUSES or status in INTERIM_STATUSES
        if self.state is ResponseState.WAITING and not is_valid:
            self._fail(FailureKind.INVALID_STATUS, f'status {status:03}')

    def _is_interim(self) -> bool:
        return self.status in INTERIM_STATUSES

    def _complete(self) -> None:
        self.state = ResponseState.WHOLE
        self.is_reusable = self.parser.should_keep_alive()

    def _fail(self, kind: FailureKind, detail: str = '') -> None:
        """Record a failure in a callback, and stop parsing."""
        self._record_failure(kind, detail)
        raise _ParsingStoppedError(kind)

    def _record_failure(self, kind: FailureKind, detail: str = '') -> None:
        self.is_reusable = False
        if self.state is not ResponseState.WHOLE:
            self.failure = kind
            self.failure_detail = detail
            self.state = ResponseState.FAILED
            self.discard()
