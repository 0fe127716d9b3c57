"""Builds the daemon's HTTP responses from answers and failures."""

import re
from dataclasses import dataclass

from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.ids import RequestId, TicketId
from laburnumyard.transport import FINAL_STATUSES

MAX_DETAIL_CHARS = 400
# Errors after which a caller's connection is closed: the following bytes may
# be the rest of the refused request, or the daemon is shutting down.
CLOSING_KINDS = frozenset(
    (
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.HEADERS_TOO_LARGE,
        ErrorKind.SENDER_TOO_SLOW,
        ErrorKind.SHUTTING_DOWN,
    )
)
# Headers that only the daemon itself writes.
FRAMING_HEADERS = frozenset(
    ('connection', 'content-length', 'transfer-encoding')
)
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
HEADER_VALUE = re.compile('[\t -~\x80-\xff]*')


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    Parameters
    ----------
    status
        The HTTP status.
    headers
        Pairs of a lower-case name and a value.
    body
        The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def is_valid_response(response: Response) -> bool:
    """Return whether a response, perhaps of a peer, is valid HTTP."""
    return response.status in FINAL_STATUSES and all(
        HEADER_NAME.fullmatch(name)
        and HEADER_VALUE.fullmatch(text)
        and name.lower() not in FRAMING_HEADERS
        for name, text in response.headers
    )


def encode_headers(response: Response) -> list[tuple[bytes, bytes]]:
    """Return the encoded headers of a response, with its length."""
    headers = [
        (name.encode('latin-1'), text.encode('latin-1', 'replace'))
        for name, text in response.headers
    ]
    headers.append((b'content-length', b'%d' % len(response.body)))
    return headers


def success_response(response: Response, request_id: RequestId) -> Response:
    """Return a target's response with the daemon's headers added."""
    headers = (
        *response.headers,
        ('laburnumyard-request-id', request_id),
        ('laburnumyard-ran', Ran.RAN.value),
    )
    return Response(response.status, headers, response.body)


def error_response(
    failure: Failure,
    request_id: RequestId,
    ran: Ran | None = None,
    ticket: TicketId | None = None,
) -> Response:
    """Return the response that reports a failure to a caller.

    Parameters
    ----------
    failure
        The failure.
    request_id
        Identifies the request in logs.
    ran
        Whether the request ran; None for the default of the failure's kind.
    ticket
        A new ticket, sent with ``ticket-required``.
    """
    answer = failure.answer
    promised = answer.ran if ran is None else ran
    detail = failure.detail[:MAX_DETAIL_CHARS]
    body = f'{failure.kind.value}: {answer.meaning} {detail} {answer.remedy}\n'
    headers = [
        ('content-type', 'text/plain; charset=utf-8'),
        ('laburnumyard-request-id', request_id),
        ('laburnumyard-error', failure.kind.value),
        ('laburnumyard-ran', promised.value),
        ('laburnumyard-may-retry', 'yes' if answer.may_retry else 'no'),
    ]
    if failure.kind in CLOSING_KINDS:
        headers.append(('connection', 'close'))
    if ticket is not None:
        headers.append(('laburnumyard-ticket', ticket))
    return Response(int(answer.status), tuple(headers), body.encode())
