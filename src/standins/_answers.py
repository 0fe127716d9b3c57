"""What a raw ASGI application sends."""

import json
from http import HTTPStatus

from standins._asgi import Call

Headers = list[tuple[bytes, bytes]]


async def answer(
    call: Call,
    status: int,
    body: bytes = b'',
    headers: Headers | None = None,
) -> None:
    """Send a whole answer."""
    length = (b'content-length', b'%d' % len(body))
    await call.send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [length, *(headers or ())],
        },
    )
    await call.send({'type': 'http.response.body', 'body': body})


async def answer_json(
    call: Call,
    content: object,
    status: int = HTTPStatus.OK,
    headers: Headers | None = None,
) -> None:
    """Send a JSON answer."""
    kind = (b'content-type', b'application/json')
    body = json.dumps(content).encode()
    await answer(call, status, body, [kind, *(headers or ())])


async def answer_compact(
    call: Call,
    content: object,
    status: int = HTTPStatus.OK,
) -> None:
    """Send JSON in few bytes, to a caller that expects nothing else."""
    body = json.dumps(content, separators=(',', ':')).encode()
    await answer(call, status, body)


async def break_off(call: Call) -> None:
    """Close the connection without an answer.

    ASGI has no word for it, so this reaches for uvicorn's transport.
    """
    cycle = call.send.__self__  # type: ignore[attr-defined]
    cycle.transport.abort()
    await call.wait_closed()
