"""A caller's keep-alive connection."""

import asyncio
from dataclasses import dataclass, field

import httptools

from standins._serve import parse_address


class BrokenConnectionError(Exception):
    """The connection ended before the answer was whole."""


@dataclass(slots=True)
class Reply:
    """A whole answer."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    chunks: list[bytes] = field(default_factory=list)

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b''.join(self.chunks)

    def header(self, name: str) -> str:
        """Return a header, empty where it is absent."""
        return self.headers.get(name.encode(), b'').decode('latin-1')


class CallerConnection(asyncio.Protocol):
    """One connection that carries one request at a time."""

    def __init__(self) -> None:
        """Start unconnected."""
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[Reply] | None = None
        self.reply = Reply()
        self.parser = httptools.HttpResponseParser(self)

    @property
    def is_open(self) -> bool:
        """Whether another request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    async def exchange(self, request: bytes) -> Reply:
        """Send a request and return its whole answer.

        Raises
        ------
        BrokenConnectionError
            If the connection ends first.
        """
        if self.transport is None or not self.is_open:
            raise BrokenConnectionError
        self.reply = Reply()
        self.waiter = self.loop.create_future()
        self.transport.write(request)
        try:
            return await self.waiter
        finally:
            self.waiter = None

    def close(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the waiting request."""
        self._fail()

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()
            self._fail()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header."""
        self.reply.headers[name.lower()] = content

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self.reply.chunks.append(body)

    def on_message_complete(self) -> None:
        """Hand the whole answer over."""
        self.reply.status = self.parser.get_status_code()
        if not self.parser.should_keep_alive():
            self.close()
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(self.reply)

    def _fail(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(BrokenConnectionError())


async def connect(address: str) -> CallerConnection:
    """Open a connection to ``IP:PORT``.

    Raises
    ------
    BrokenConnectionError
        If it is refused.
    """
    host, port = parse_address(address)
    loop = asyncio.get_running_loop()
    try:
        _, connection = await loop.create_connection(
            CallerConnection,
            host,
            port,
        )
    except OSError as error:
        raise BrokenConnectionError from error
    return connection
