"""An HTTP/1.1 client that sends and reads raw bytes."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

TEST_TIMEOUT_S = 20


@dataclass
class Address:
    host: str
    port: int
    server: Any = None

    @property
    def text(self):
        return f'{self.host}:{self.port}'


@dataclass
class Answer:
    status: int
    headers: dict
    body: bytes

    @property
    def kind(self):
        return self.headers.get('laburnumyard-error', '')

    @property
    def ran(self):
        return self.headers.get('laburnumyard-ran', '')

    @property
    def ticket(self):
        return self.headers.get('laburnumyard-ticket', '')


class Caller:
    """A client connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, sent):
        self.writer.write(sent)

    async def read(self, is_head=False):
        """Read one response; None if the connection closed before it."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            try:
                return await self._read(is_head)
            except (asyncio.IncompleteReadError, ConnectionError):
                return None

    async def _read(self, is_head):
        head = await self.reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        pairs = (line.partition(':') for line in lines if line)
        headers = {name: text.strip() for name, _, text in pairs}
        length = 0 if is_head else int(headers.get('content-length', 0))
        body = await self.reader.readexactly(length)
        return Answer(int(first.split()[1]), headers, body)

    async def read_end(self):
        """Read everything until the connection is closed."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            try:
                return await self.reader.read(-1)
            except ConnectionError:
                return b''

    def close(self):
        self.writer.transport.abort()


@asynccontextmanager
async def connected(address):
    caller = Caller(*await asyncio.open_connection(address.host, address.port))
    try:
        yield caller
    finally:
        caller.close()


def encode(method='GET', path='/catalogue/read', body=b'', raw=b'', **headers):
    """Return an encoded request; header names are given with underscores.

    ``raw`` is appended to the head unchanged, without a content length.
    """
    named = {'host': 'x', 'laburnumyard_key': 'bench-17'} | headers
    if body:
        named['content_length'] = str(len(body))
    lines = [
        f'{name.replace("_", "-")}: {text}'
        for name, text in named.items()
        if text is not None
    ]
    head = '\r\n'.join((f'{method} {path} HTTP/1.1', *lines, '', ''))
    return head.encode('latin-1') + body + raw


async def ask(address, *arguments, **headers):
    """Send one request on a new connection and read its response."""
    async with connected(address) as caller:
        caller.send(encode(*arguments, **headers))
        return await caller.read(is_head='HEAD' in arguments)
