"""Sends the head and the body of an answer with one call of the system."""

import asyncio
from typing import Any


class CoalescingTransport:
    """A transport that gathers what is written within one turn of the loop.

    uvicorn writes head and body apart, and each write is a system call.

    Parameters
    ----------
    transport
        The transport of the connection.
    loop
        Its event loop.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Start with nothing gathered."""
        self.transport = transport
        self.loop = loop
        self.parts: list[bytes] = []
        self.is_closing = transport.is_closing

    def __getattr__(self, name: str) -> Any:
        """Give everything else of the transport."""
        return getattr(self.transport, name)

    def write(self, part: bytes) -> None:
        """Gather a part."""
        if not self.parts:
            self.loop.call_soon(self.flush)
        self.parts.append(part)

    def flush(self) -> None:
        """Send what was gathered."""
        if self.parts:
            joined = b''.join(self.parts)
            self.parts.clear()
            self.transport.write(joined)

    def get_write_buffer_size(self) -> int:
        """Return how many bytes have not yet left, gathered ones included."""
        gathered = sum(map(len, self.parts))
        return gathered + self.transport.get_write_buffer_size()

    def write_eof(self) -> None:
        """Send what was gathered and end the sending side."""
        self.flush()
        self.transport.write_eof()

    def close(self) -> None:
        """Send what was gathered and close."""
        self.flush()
        self.transport.close()
