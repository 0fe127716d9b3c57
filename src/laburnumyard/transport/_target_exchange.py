"""Requests to targets, their responses and failures."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

Headers = tuple[tuple[str, str], ...]

NOT_RUN_HEADER = 'laburnumyard-not-run'
CLOCK_HEADER = 'laburnumyard-clock-ms'
NOT_RUN_STATUSES = frozenset(
    (HTTPStatus.MISDIRECTED_REQUEST, HTTPStatus.SERVICE_UNAVAILABLE),
)
MAX_CLOCK_DIGITS = 15
FIRST_UNKNOWN_STATUS = 600
# Statuses of final responses (RFC 9110, section 15).
FINAL_STATUSES = range(HTTPStatus.OK, FIRST_UNKNOWN_STATUS)
# Statuses of interim responses. A response with 101 ends HTTP/1.1 on its
# connection, and no request asks for that.
INTERIM_STATUSES = frozenset(range(HTTPStatus.CONTINUE, HTTPStatus.OK)) - {
    HTTPStatus.SWITCHING_PROTOCOLS
}
# Hop-by-hop headers, and headers that the connection writes itself.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


class FailureKind(Enum):
    """Why a request to a target got no complete response."""

    UNREACHABLE = 'unreachable'
    TIMEOUT = 'timeout'
    BROKE_OFF = 'broke-off'
    MALFORMED = 'malformed'
    INVALID_STATUS = 'invalid-status'
    TOO_LARGE = 'too-large'
    NOT_REUSABLE = 'not-reusable'
    BAD_REQUEST = 'bad-request'


@dataclass(frozen=True, slots=True)
class TargetFailure:
    """A request without a complete response.

    Parameters
    ----------
    kind
        Kind of failure.
    has_left
        Whether a byte of the request may have been sent; if False, the request
        certainly did not run.
    detail
        Text for logs.
    """

    kind: FailureKind
    has_left: bool
    detail: str = ''


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request to a target.

    Parameters
    ----------
    method, path
        Method, and percent-encoded path with query string.
    headers
        Pairs of name and value; hop-by-hop headers are not sent.
    body
        Complete body; must not change while it is sent.
    host
        Value of the ``host`` header; empty for the address of the target.
    """

    method: str
    path: str
    headers: Headers = ()
    body: bytes | bytearray = b''
    host: str = ''


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """A complete response of a target.

    Parameters
    ----------
    status
        HTTP status code.
    headers
        Pairs of lower-case name and value.
    body
        Complete body.
    """

    status: int
    headers: Headers
    body: bytes | bytearray

    def header(self, name: str) -> str:
        """Return the first value of a header, empty if absent."""
        for key, text in self.headers:
            if key == name:
                return text
        return ''

    @property
    def is_not_run(self) -> bool:
        """Whether the target states that it did not start the request."""
        is_refusal = self.status in NOT_RUN_STATUSES
        return is_refusal and self.header(NOT_RUN_HEADER) == 'yes'

    @property
    def clock_ms(self) -> int | None:
        """Clock of the target in milliseconds, None if absent or invalid."""
        text = self.header(CLOCK_HEADER)
        is_number = text.isascii() and text.isdecimal()
        return (
            int(text) if is_number and len(text) <= MAX_CLOCK_DIGITS else None
        )


def remove_hop_by_hop_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the end-to-end headers.

    Parameters
    ----------
    headers
        Pairs of lower-case name and value.
    """
    return tuple(header for header in headers if header[0] not in HOP_BY_HOP)
