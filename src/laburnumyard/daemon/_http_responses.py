"""The HTTP answers of the daemon, from responses and from failures."""

import re
from dataclasses import dataclass
from http import HTTPStatus

from laburnumyard.core.errors import ErrorKind, Failure, Ran
from laburnumyard.core.ids import RequestId, TicketId

MAX_DETAIL_CHARS = 400
# Errors after which a caller's connection is closed: what follows may be the
# rest of what was refused, or the daemon is about to leave.
CLOSING_KINDS = frozenset(
    (
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.HEADERS_TOO_LARGE,
        ErrorKind.SENDER_TOO_SLOW,
        ErrorKind.SHUTTING_DOWN,
    )
)
FIRST_UNKNOWN_STATUS = 600
# Statuses that end a request; the rest cannot be told to a caller.
FINAL_STATUSES = range(HTTPStatus.OK, FIRST_UNKNOWN_STATUS)
# Headers that the daemon writes for itself.
FRAMING_HEADERS = frozenset(
    ('connection', 'content-length', 'transfer-encoding')
)
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
HEADER_VALUE = re.compile('[\t -~\x80-\xff]*')


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer.

    Parameters
    ----------
    status
        The HTTP status.
    headers
        Names in lower case and values.
    body
        The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def is_valid_response(response: Response) -> bool:
    """Tell whether an answer can stand in HTTP; it may come from a peer."""
    return response.status in FINAL_STATUSES and all(
        HEADER_NAME.fullmatch(name)
        and HEADER_VALUE.fullmatch(text)
        and name.lower() not in FRAMING_HEADERS
        for name, text in response.headers
    )


def encode_headers(response: Response) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer as they are sent, with its length."""
    headers = [
        (name.encode('latin-1'), text.encode('latin-1', 'replace'))
        for name, text in response.headers
    ]
    headers.append((b'content-length', b'%d' % len(response.body)))
    return headers


def success_response(response: Response, request_id: RequestId) -> Response:
    """Return a target's answer as its caller gets it."""
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
    """Return the answer that tells a caller of a failure.

    Parameters
    ----------
    failure
        What went wrong.
    request_id
        The name of the request.
    ran
        What is known of its execution, where that differs from the table.
    ticket
        A fresh ticket that comes with a ``ticket-required``.
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
