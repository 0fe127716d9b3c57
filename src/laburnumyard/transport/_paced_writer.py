"""Writes large content in pieces, each when the socket has taken the last."""

import asyncio

# Content up to this size is written at once. The transport copies what the
# socket doesn't take, so larger content is cut into pieces of this size.
PIECE_BYTES = 65_536

Content = bytes | bytearray


class PacedWriter:
    """Writes to the transport of a connection without copying large content.

    The protocol of the connection calls ``pause`` and ``resume``.
    """

    def __init__(self) -> None:
        """Create a writer without a transport."""
        self.transport: asyncio.Transport | None = None
        self.is_paused = False
        # What is not yet written of the last content.
        self.rest = memoryview(b'')
        # What is to be written behind it.
        self.following = b''

    @property
    def is_idle(self) -> bool:
        """Whether the socket has taken everything."""
        transport = self.transport
        is_taken = transport is None or not transport.get_write_buffer_size()
        return is_taken and not self.rest

    def write_between(self, message: bytes) -> None:
        """Write a message behind the content that is being written."""
        if self.rest:
            self.following += message
        elif self.transport is not None:
            self.transport.write(message)

    def write(self, head: bytes, content: Content) -> None:
        """Write a head and its content, after what was written before."""
        if self.transport is None:
            return
        if len(content) <= PIECE_BYTES:
            self.transport.write(head + content if content else head)
            return
        self.transport.write(head)
        self.rest = memoryview(content)
        self.write_rest()

    def write_rest(self) -> None:
        """Write pieces until the socket takes no more."""
        while self.rest and not self.is_paused and self.transport is not None:
            if self.transport.is_closing():
                self.drop()
                return
            piece = self.rest[:PIECE_BYTES]
            self.rest = self.rest[PIECE_BYTES:]
            self.transport.write(piece)
        if not self.rest and self.following and self.transport is not None:
            self.transport.write(self.following)
            self.following = b''

    def pause(self) -> None:
        """Write no more until ``resume``."""
        self.is_paused = True

    def resume(self) -> None:
        """Go on writing."""
        self.is_paused = False
        self.write_rest()

    def drop(self) -> None:
        """Forget what is not written, as the connection ends."""
        self.rest = memoryview(b'')
        self.following = b''
