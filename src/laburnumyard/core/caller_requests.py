"""Validation of the head of a caller's HTTP request."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, replace
from urllib.parse import unquote

from expression import Error, Result

from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.fast_results import ok
from laburnumyard.core.ids import (
    CustomerName,
    KeyHash,
    RequestId,
    Seconds,
    ServiceName,
    TicketId,
)
from laburnumyard.core.key_hashing import hash_key
from laburnumyard.schema._generated.settings import LimitSettings

MILLISECONDS_PER_SECOND = 1000
MAX_KEY_LENGTH = 512
# Characters of an invalid value that an error shows.
SHOWN = 20
SAFE_METHODS = frozenset(('GET', 'HEAD'))
METHODS = SAFE_METHODS | {'POST', 'PUT', 'PATCH', 'DELETE'}
Headers = tuple[tuple[str, str], ...]
PREFIX = 'laburnumyard-'
PATH = re.compile('/[!-~]*')
# A path without a match cannot contain encoded characters or dot segments.
SUSPICIOUS_PATH_PART = re.compile(r'%|[/\\]\.')
SEPARATORS = re.compile(r'[/\\]')
CONTROL = re.compile('[\x00-\x1f\x7f]')
DOT_SEGMENTS = frozenset(('.', '..'))
MAX_LENGTH_DIGITS = 18
# Hop-by-hop headers, which a proxy must not forward.
HOP_HEADERS = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of an HTTP request as it arrived.

    Parameters
    ----------
    method
        The method in capitals.
    path
        The path with its query.
    headers
        Pairs of lower-case name and value, as bytes.
    """

    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated request of a caller.

    Parameters
    ----------
    request_id
        Identifier of the request in logs and responses.
    service, operation
        The first and second segment of the path.
    customer
        The customer that the caller claims to be; empty for none.
    token
        The bearer token that authenticates the customer.
    key, key_hash
        The key and its hash.
    timeout
        The time limit set by the caller, in seconds.
    repeatable
        Whether the request may run more than once.
    ticket
        The ticket of a request that must not be repeated; empty for none.
    method, path, headers, body
        The request as forwarded to the target.
    """

    request_id: RequestId
    service: ServiceName
    operation: str
    customer: CustomerName
    token: str
    key: str
    key_hash: KeyHash
    timeout: Seconds
    repeatable: bool
    ticket: TicketId
    method: str
    path: str
    headers: Headers
    body: bytes = b''

    def with_body(self, body: bytes) -> 'CallerRequest':
        """Return the same request with its body."""
        return replace(self, body=body)


class _RefusedError(Exception):
    """Passes a failure from a nested check to `parse_head`."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.failure = Failure(kind, detail)


def parse_head(
    head: RequestHead,
    request_id: RequestId,
    limits: LimitSettings,
) -> Result[CallerRequest, Failure]:
    """Validate the head of a request.

    Parameters
    ----------
    head
        The untrusted head as it arrived.
    request_id
        The identifier that the daemon assigned to the request.
    limits
        The limits from the daemon's settings.

    Returns
    -------
    Result
        The request without its body, or a failure of kind
        ``bad-request``, ``headers-too-large`` or ``body-too-large`` that
        names the bad value and the remedy.
    """
    try:
        return ok(_parse(head, request_id, limits))
    except _RefusedError as refused:
        return Error(refused.failure)


def _parse(
    head: RequestHead,
    request_id: RequestId,
    limits: LimitSettings,
) -> CallerRequest:
    _check_size(head, limits)
    if head.method not in METHODS:
        raise _bad_request(
            f'method {head.method!r}: use one of {sorted(METHODS)}'
        )
    own, forwarded = _sort_headers(head.headers)
    service, operation = _split_path(head.path)
    key = _read_key(own)
    return CallerRequest(
        request_id=request_id,
        service=service,
        operation=operation,
        customer=CustomerName(own.get('laburnumyard-customer', '')),
        token=_read_token(own),
        key=key,
        key_hash=hash_key(key),
        timeout=_read_timeout(own, limits),
        repeatable=_read_repeatable(own, head.method),
        ticket=TicketId(own.get('laburnumyard-ticket', '')),
        method=head.method,
        path=head.path,
        headers=forwarded,
    )


def _bad_request(detail: str) -> _RefusedError:
    return _RefusedError(ErrorKind.BAD_REQUEST, detail)


def _check_size(head: RequestHead, limits: LimitSettings) -> None:
    size = len(head.path)
    for name, text in head.headers:
        size += len(name) + len(text)
        if name == b'content-length':
            _check_length(text, limits)
    if size > limits.header_bytes:
        raise _RefusedError(
            ErrorKind.HEADERS_TOO_LARGE,
            f'the head has {size} bytes; send at most {limits.header_bytes}',
        )


def _check_length(text: bytes, limits: LimitSettings) -> None:
    if not text.isdigit():
        shown = text[:SHOWN]
        raise _bad_request(f'content-length {shown!r}: send a number of bytes')
    length = int(text[:MAX_LENGTH_DIGITS])
    if length > limits.body_bytes:
        raise _RefusedError(
            ErrorKind.BODY_TOO_LARGE,
            f'the body has {length} bytes; send at most {limits.body_bytes}',
        )


def _sort_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[dict[str, str], Headers]:
    """Separate the daemon's own headers from those for the target."""
    own: dict[str, str] = {}
    forwarded: list[tuple[str, str]] = []
    dropped = HOP_HEADERS
    for raw_name, raw_text in headers:
        name, text = raw_name.decode('latin-1'), raw_text.decode('latin-1')
        if name.startswith(PREFIX) or name == 'authorization':
            if name in own:
                raise _bad_request(f'{name[:SHOWN]!r} came twice: send it once')
            own[name] = text
        elif name == 'connection':
            dropped |= set(text.lower().replace(' ', '').split(','))
        else:
            forwarded.append((name, text))
    return own, tuple(pair for pair in forwarded if pair[0] not in dropped)


def _check_path(path: str) -> None:
    """Reject paths that a target could normalise to a different path."""
    if not PATH.fullmatch(path):
        raise _bad_request(
            f'path {path[:SHOWN]!r}: send printable ASCII from / on'
        )
    if not SUSPICIOUS_PATH_PART.search(path):
        return
    decoded = unquote(path.partition('?')[0])
    if DOT_SEGMENTS.intersection(SEPARATORS.split(decoded)):
        raise _bad_request(f'path {path[:SHOWN]!r}: send no . or .. segment')
    if CONTROL.search(decoded):
        raise _bad_request(f'path {path[:SHOWN]!r}: send no control character')


def _split_path(path: str) -> tuple[ServiceName, str]:
    _check_path(path)
    service, _, rest = path.partition('?')[0].lstrip('/').partition('/')
    if not service:
        raise _bad_request(f'path {path!r}: send /SERVICE/OPERATION')
    return ServiceName(service), rest.partition('/')[0]


def _read_key(own: dict[str, str]) -> str:
    key = own.get('laburnumyard-key', '')
    if not key or len(key) > MAX_KEY_LENGTH:
        raise _bad_request(
            f'laburnumyard-key has {len(key)} characters: '
            f'send 1 to {MAX_KEY_LENGTH}',
        )
    return key


def _read_token(own: dict[str, str]) -> str:
    text = own.get('authorization', '')
    return text[7:].strip() if text[:7].lower() == 'bearer ' else ''


def _read_timeout(own: dict[str, str], limits: LimitSettings) -> Seconds:
    text = own.get('laburnumyard-deadline-ms')
    if text is None:
        return Seconds(limits.deadline_default_s)
    longest = int(limits.deadline_max_s * MILLISECONDS_PER_SECOND)
    if not text.isdecimal() or not text.isascii():
        raise _bad_request(
            f'laburnumyard-deadline-ms {text[:SHOWN]!r}: send a number'
        )
    timeout = int(text[:SHOWN])
    if timeout < 1 or timeout > longest:
        raise _bad_request(
            f'laburnumyard-deadline-ms {timeout}: send 1 to {longest}'
        )
    return Seconds(timeout / MILLISECONDS_PER_SECOND)


def _read_repeatable(own: dict[str, str], method: str) -> bool:
    text = own.get('laburnumyard-repeatable')
    if text is None:
        return method in SAFE_METHODS
    if text not in {'yes', 'no'}:
        raise _bad_request(
            f"laburnumyard-repeatable {text[:SHOWN]!r}: send 'yes' or 'no'"
        )
    return text == 'yes'
