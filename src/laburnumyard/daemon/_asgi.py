"""Reads requests and sends complete responses over ASGI."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import anyio
from expression import Error, Ok, Result

from laburnumyard.core.caller_requests import RequestHead
from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.daemon._http_responses import Response, encode_headers
from laburnumyard.schema._generated.settings import LimitSettings

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
BODY_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
CALLER_DISCONNECTED = Failure(
    ErrorKind.BAD_REQUEST, 'the caller closed the connection'
)


def read_head(scope: dict[str, Any]) -> RequestHead:
    """Return the request line and headers of an ASGI request."""
    path = scope['raw_path'].decode('latin-1')
    query = scope['query_string'].decode('latin-1')
    if query:
        path = f'{path}?{query}'
    return RequestHead(scope['method'], path, tuple(scope['headers']))


def has_body(head: RequestHead) -> bool:
    """Return whether a request has a body after its head."""
    return any(name in BODY_HEADERS for name, _ in head.headers)


async def read_body(
    receive: Receive,
    limits: LimitSettings,
) -> Result[bytes, Failure]:
    """Read a complete body within the configured limits.

    Returns
    -------
    Result
        The body, or a failure of kind ``body-too-large`` or
        ``sender-too-slow``.
    """
    with anyio.move_on_after(limits.body_timeout_s):
        return await _collect(receive, limits.body_bytes)
    return Error(
        Failure(
            ErrorKind.SENDER_TOO_SLOW,
            f'the body took longer than {limits.body_timeout_s} s',
        ),
    )


async def _collect(receive: Receive, longest: int) -> Result[bytes, Failure]:
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return Error(CALLER_DISCONNECTED)
        parts.append(message.get('body', b''))
        size += len(parts[-1])
        if size > longest:
            detail = f'the body is larger than {longest} bytes'
            return Error(Failure(ErrorKind.BODY_TOO_LARGE, detail))
        if not message.get('more_body', False):
            return Ok(b''.join(parts))


async def send_response(
    send: Send,
    response: Response,
    method: str = 'GET',
) -> None:
    """Send a complete response.

    Parameters
    ----------
    send
        ASGI send callable.
    response
        The response.
    method
        Method of the request; a response to HEAD has no body.
    """
    headers = encode_headers(response)
    if method == 'HEAD' or response.status in BODILESS_STATUSES:
        # The content length would count a body that is not sent.
        headers.pop()
    await send(
        {
            'type': 'http.response.start',
            'status': response.status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': response.body})
