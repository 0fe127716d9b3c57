"""ASGI application for operators: health, metrics, status and orders."""

import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from urllib.parse import parse_qs

from laburnumyard.core.configuration import is_token_of
from laburnumyard.daemon._asgi import Receive, Send, send_response
from laburnumyard.daemon._http_responses import Response
from laburnumyard.schema._generated.settings import AdminSettings

MAX_BODY_BYTES = 65536
TEXT_HEADERS = (('content-type', 'text/plain; charset=utf-8'),)
JSON_HEADERS = (('content-type', 'application/json'),)


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """One call on the admin address.

    Parameters
    ----------
    query
        Query parameters; the last value of each name.
    message
        JSON object of the body; empty without a body.
    """

    query: Mapping[str, str]
    message: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class AdminAnswer:
    """Answer to a call on the admin address.

    Parameters
    ----------
    message
        A JSON object, or text.
    status
        The HTTP status.
    """

    message: Mapping[str, Any] | str
    status: HTTPStatus = HTTPStatus.OK


Handler = Callable[[AdminRequest], Awaitable[AdminAnswer]]


class AdminApp:
    """The ASGI application of the admin address.

    Parameters
    ----------
    settings
        Holds the hash of the operators' token.
    handlers
        Handlers by method and path.
    """

    def __init__(
        self,
        settings: AdminSettings,
        handlers: Mapping[tuple[str, str], Handler],
    ) -> None:
        """Initialise with a read-only copy of the handlers."""
        self.settings = settings
        self.handlers = MappingProxyType(dict(handlers))

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Answer one call."""
        answer = await self._answer(scope, receive)
        message = answer.message
        if isinstance(message, str):
            response = Response(answer.status, TEXT_HEADERS, message.encode())
        else:
            body = json.dumps(message, default=str).encode()
            response = Response(answer.status, JSON_HEADERS, body)
        await send_response(send, response, scope['method'])

    async def _answer(
        self,
        scope: dict[str, Any],
        receive: Receive,
    ) -> AdminAnswer:
        route = (scope['method'], scope['path'])
        handler = self.handlers.get(route)
        if handler is None:
            known = ', '.join(' '.join(each) for each in sorted(self.handlers))
            detail = f'unknown call {" ".join(route)}; use one of {known}'
            return _error(detail, HTTPStatus.NOT_FOUND)
        if scope['method'] != 'GET' and not self._is_operator(scope):
            detail = "this call requires the operators' token as a bearer token"
            return _error(detail, HTTPStatus.UNAUTHORIZED)
        message = _parse(await _read(receive))
        if message is None:
            detail = (
                f'body must be a JSON object, at most {MAX_BODY_BYTES} bytes'
            )
            return _error(detail, HTTPStatus.BAD_REQUEST)
        return await handler(AdminRequest(_parse_query(scope), message))

    def _is_operator(self, scope: dict[str, Any]) -> bool:
        for name, text in scope['headers']:
            if name == b'authorization':
                scheme, _, token = text.decode('latin-1').partition(' ')
                is_bearer = scheme.lower() == 'bearer'
                stored = self.settings.token_sha256
                return is_bearer and is_token_of(token.strip(), stored)
        return False


def _error(detail: str, status: HTTPStatus) -> AdminAnswer:
    return AdminAnswer({'error': detail}, status)


def _parse_query(scope: dict[str, Any]) -> Mapping[str, str]:
    query = parse_qs(scope['query_string'].decode('latin-1'))
    return {name: texts[-1] for name, texts in query.items()}


async def _read(receive: Receive) -> bytes:
    body = b''
    while len(body) <= MAX_BODY_BYTES:
        part = await receive()
        body += part.get('body', b'')
        if not part.get('more_body', False):
            break
    return body


def _parse(body: bytes) -> Mapping[str, Any] | None:
    if not body:
        return {}
    if len(body) > MAX_BODY_BYTES:
        return None
    try:
        message = json.loads(body)
    except ValueError:
        return None
    return message if isinstance(message, dict) else None
