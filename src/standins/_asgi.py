"""What a raw ASGI application reads."""

import json
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

Message = MutableMapping[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]


class DisconnectedError(Exception):
    """The caller closed the connection."""


@dataclass(slots=True)
class Call:
    """One request and what is needed to answer it."""

    scope: Scope
    receive: Receive
    send: Send

    @property
    def method(self) -> str:
        """The HTTP method."""
        return str(self.scope['method'])

    @property
    def path(self) -> str:
        """The decoded path."""
        return str(self.scope['path'])

    @property
    def query(self) -> dict[str, str]:
        """The query parameters."""
        raw = self.scope['query_string']
        return dict(parse_qsl(raw.decode('latin-1'))) if raw else {}

    @property
    def headers(self) -> dict[bytes, bytes]:
        """The headers by lower-case name."""
        return dict(self.scope['headers'])

    async def read_body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        DisconnectedError
            If the caller closed the connection first.
        """
        chunks = []
        has_more = True
        while has_more:
            message = await self.receive()
            if message['type'] == 'http.disconnect':
                raise DisconnectedError
            chunks.append(message.get('body', b''))
            has_more = message.get('more_body', False)
        return b''.join(chunks)

    async def read_json(self) -> dict[str, Any]:
        """Return the body as a JSON object, empty if it is none."""
        decoded = await self.read_decoded()
        return decoded if isinstance(decoded, dict) else {}

    async def read_decoded(self) -> Any:
        """Return the body as JSON, None if it is malformed."""
        body = await self.read_body()
        try:
            return json.loads(body)
        except ValueError:
            return None

    async def wait_closed(self) -> None:
        """Return once the caller has closed the connection."""
        kind = ''
        while kind != 'http.disconnect':
            message = await self.receive()
            kind = message['type']
