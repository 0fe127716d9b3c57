"""Callers that use a gateway's memory and descriptors, and slow targets."""

import asyncio
import os
import socket
import sys
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio

from standins._asgi import Call, DisconnectedError
from standins._gateway_target import GatewayTarget
from standins._serve import parse_address
from standins.gateway_cluster import HOST

# Smallest receive buffer that the system gives a socket.
SMALL_BUFFER_BYTES = 4096
READ_PAUSE_S = 1.0
SAMPLE_S = 0.02
# State of a listening socket in ``/proc/net/tcp``.
LISTENING = '0A'


@dataclass(frozen=True, slots=True)
class Crowd:
    """Callers that all send the same.

    Parameters
    ----------
    callers
        Number of connections, all open at once.
    pieces
        What each sends; a refused or closed connection sends no more.
    hold_s
        How long each connection stays open after its last byte, in seconds.
    read_bytes_per_s
        How fast each reads responses; 0 to read none.
    pause_s
        Pause between two pieces, in seconds.
    gap_s
        Time between the starts of two callers, in seconds.
    send_s
        Longest time in which a caller sends, in seconds.
    """

    callers: int
    pieces: tuple[bytes, ...]
    hold_s: float = 2.0
    read_bytes_per_s: int = 0
    pause_s: float = 0
    gap_s: float = 0
    send_s: float = 6.0

    async def attack(self, address: str) -> None:
        """Open all connections, send, hold them, and close them."""
        with ExitStack() as stack:
            links = [stack.enter_context(_open()) for _ in range(self.callers)]
            async with anyio.create_task_group() as tasks:
                for link in links:
                    tasks.start_soon(self.converse, link, address)
                    await anyio.sleep(self.gap_s)

    async def converse(self, link: socket.socket, address: str) -> None:
        """Send what one caller sends, and hold its connection."""
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            await loop.sock_connect(link, parse_address(address))
            with anyio.move_on_after(self.send_s):
                for piece in self.pieces:
                    await loop.sock_sendall(link, piece)
                    await anyio.sleep(self.pause_s)
            with anyio.move_on_after(self.hold_s):
                await self.read(link)

    async def read(self, link: socket.socket) -> None:
        """Read responses at the given rate until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await anyio.sleep(READ_PAUSE_S)
            if self.read_bytes_per_s:
                await loop.sock_recv(link, self.read_bytes_per_s)


@dataclass
class BulkTarget(GatewayTarget):
    """A target with large responses that reads requests slowly.

    Parameters
    ----------
    response_bytes
        Size of the response to a request whose path ends in ``bulk``.
    read_pause_s
        Pause before each part of a body is read, in seconds.
    """

    response_bytes: int = 0
    read_pause_s: float = 0

    async def run(self, call: Call) -> None:
        """Run a request; small bodies are read at once."""
        if self.read_pause_s and call.method == 'PUT':
            await self.read_slowly(call)
        await super().run(call)

    async def read_slowly(self, call: Call) -> None:
        """Read a body with pauses."""
        has_more = True
        while has_more:
            await anyio.sleep(self.read_pause_s)
            message = await call.receive()
            if message['type'] == 'http.disconnect':
                raise DisconnectedError
            has_more = message.get('more_body', False)

    def content(self, call: Call) -> bytes:
        """Return the body of a response."""
        if call.path.endswith('bulk'):
            return bytes(self.response_bytes)
        return super().content(call)


@dataclass(slots=True)
class ProcessWatch:
    """Peak use of descriptors and memory of a process.

    Parameters
    ----------
    pid
        The process.
    address
        ``IP:PORT`` on which it accepts callers, to watch their sockets too.

    Attributes
    ----------
    descriptors
        Most descriptors that were open at once.
    held_bytes
        Largest sum of the resident size and the bytes in callers' sockets.
    """

    pid: int
    address: str = ''
    descriptors: int = 0
    held_bytes: int = 0
    errors: list[str] = field(default_factory=list)

    async def run(self) -> None:
        """Sample the process until cancelled."""
        while True:
            with suppress(OSError):
                self.sample()
            await anyio.sleep(SAMPLE_S)

    def sample(self) -> None:
        """Note the open descriptors and the memory."""
        opened = len(os.listdir(f'/proc/{self.pid}/fd'))
        self.descriptors = max(self.descriptors, opened)
        if self.address:
            held = self.resident_bytes() + queued_bytes(self.address)
            self.held_bytes = max(self.held_bytes, held)

    def resident_bytes(self) -> int:
        """Return the current resident size."""
        pages = Path(f'/proc/{self.pid}/statm').read_text().split()[1]
        return int(pages) * os.sysconf('SC_PAGE_SIZE')

    def peak_bytes(self) -> int:
        """Return the largest resident size so far."""
        status = Path(f'/proc/{self.pid}/status').read_text()
        fields = dict(
            line.split(':', 1) for line in status.splitlines() if ':' in line
        )
        return int(fields['VmHWM'].split()[0]) * 1024


def queued_bytes(address: str) -> int:
    """Return the bytes in the sockets of connections to a local address."""
    host, port = parse_address(address)
    packed = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    local = f'{packed:08X}:{port:04X}'
    total = 0
    for line in Path('/proc/net/tcp').read_text().splitlines():
        fields = line.split()
        if fields[1] == local and fields[3] != LISTENING:
            sent, received = fields[4].split(':')
            total += int(sent, 16) + int(received, 16)
    return total


def request_head(
    method: str, path: str, name: str, *lines: str, deadline_ms: int = 4000
) -> bytes:
    """Return the head of a request, with additional lines."""
    fields = (
        f'{key}: {text}' for key, text in request_fields(name, deadline_ms)
    )
    head = (f'{method} {path} HTTP/1.1', *fields, *lines, '', '')
    return '\r\n'.join(head).encode('latin-1')


def request_fields(
    name: str, deadline_ms: int = 4000
) -> tuple[tuple[str, str], ...]:
    """Return the header fields of each request."""
    return (
        ('host', HOST),
        ('laburnumyard-attempt-id', name),
        ('laburnumyard-deadline-ms', str(deadline_ms)),
    )


def repeat(piece: bytes, number: int) -> Iterable[bytes]:
    """Yield one piece some times."""
    return (piece for _ in range(number))


def _open() -> Any:
    link = socket.socket()
    link.setblocking(False)
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    return link


def split(content: bytes, size: int) -> Iterator[bytes]:
    """Yield the pieces of some bytes."""
    for start in range(0, len(content), size):
        yield content[start : start + size]
