"""Coalesces the writes of a response into one system call."""

import asyncio
from typing import Any


class CoalescingTransport:
    """A transport that joins the writes of one event loop iteration.

    uvicorn writes head and body separately, and each write is a system call.

    Parameters
    ----------
    transport
        Transport of the connection.
    loop
        Event loop of the transport.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Initialise with an empty buffer."""
        self.transport = transport
        self.loop = loop
        self.parts: list[bytes] = []
        self.is_closing = transport.is_closing

    def __getattr__(self, name: str) -> Any:
        """Delegate all other attributes to the transport."""
        return getattr(self.transport, name)

    def write(self, part: bytes) -> None:
        """Buffer a part until the next loop iteration."""
        if not self.parts:
            self.loop.call_soon(self.flush)
        self.parts.append(part)

    def flush(self) -> None:
        """Write the buffered parts."""
        if self.parts:
            joined = b''.join(self.parts)
            self.parts.clear()
            self.transport.write(joined)

    def get_write_buffer_size(self) -> int:
        """Return the number of unsent bytes, buffered ones included."""
        gathered = sum(map(len, self.parts))
        return gathered + self.transport.get_write_buffer_size()

    def write_eof(self) -> None:
        """Write the buffered parts and close the sending side."""
        self.flush()
        self.transport.write_eof()

    def close(self) -> None:
        """Write the buffered parts and close."""
        self.flush()
        self.transport.close()
