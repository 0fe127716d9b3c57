"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

PHRASES = {
    200: 'OK',
    400: 'Bad Request',
    403: 'Forbidden',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}


@dataclass
class Message:
    """A request or a response; header names in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def method(self) -> str:
        return self.start.split(' ')[0]

    @property
    def target(self) -> str:
        return self.start.split(' ')[1]

    @property
    def status(self) -> int:
        return int(self.start.split(' ')[1])


@dataclass
class Reply:
    """What a server answers; no reply at all if silent."""

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    length = int(headers.get('content-length', '0'))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Message(start, headers, body)


def encode_reply(reply: Reply) -> bytes:
    """Return a response as bytes."""
    phrase = PHRASES.get(reply.status, 'Status')
    lines = [f'HTTP/1.1 {reply.status} {phrase}']
    lines += [f'{name}: {text}' for name, text in reply.headers.items()]
    lines.append(f'Content-Length: {len(reply.body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + reply.body


def json_reply(status: int, document: object, **headers: str) -> Reply:
    """Return a reply with a JSON body."""
    fields = {'Content-Type': 'application/json', **headers}
    return Reply(status, fields, json.dumps(document).encode())


Handler = Callable[[Message], Awaitable[Reply | None]]


class Server:
    """An HTTP server on one loopback address.

    A request whose connection closes is cancelled. A handler that returns None
    leaves the request without an answer.
    """

    def __init__(self, host: str, handle: Handler) -> None:
        self.host = host
        self.port = 0
        self.handle = handle
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=2**20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and all connections, as a process that ends."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                work = asyncio.ensure_future(self.handle(request))
                gone = asyncio.ensure_future(closed(reader))
                await asyncio.wait(
                    (work, gone), return_when=asyncio.FIRST_COMPLETED
                )
                gone.cancel()
                if not work.done():
                    work.cancel()
                    return
                reply = work.result()
                if reply is None:
                    await asyncio.sleep(3600)
                    return
                writer.write(encode_reply(reply))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort() if writer.is_closing() else writer.close()


async def closed(reader: asyncio.StreamReader) -> None:
    """Wait until the other side has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


async def call(address: str, raw: bytes, timeout_s: float) -> Message | None:
    """Send one request on a new connection; None without a whole answer."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(raw)
            await writer.drain()
            while True:
                answer = await read_message(reader)
                if answer is None or answer.status >= 200:
                    return answer
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
