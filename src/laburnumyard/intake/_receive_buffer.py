"""Received bytes of a connection that wait to be parsed."""

import asyncio
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Protocol

from laburnumyard.core.memory_account import Holder
from laburnumyard.intake._parsing_queue import CALLS_AT_ONCE, ParsingQueue

# Bytes that are parsed at once while nothing waits: a head, or a few.
AT_ONCE_BYTES = 4096
NOTHING = memoryview(b'')


class RequestParser(Protocol):
    """Parser of the bytes of a connection."""

    # Calls so far for header lines and parts of bodies.
    calls: int

    @property
    def costly_calls(self) -> int:
        """Calls for a body in many small parts; 0 for any other."""

    def step_bytes(self, received: int) -> int:
        """Return how many of the received bytes to parse at once."""

    def feed(self, received: bytes | memoryview) -> None:
        """Parse received bytes."""


class BufferedConnection(Protocol):
    """Connection whose received bytes wait in a buffer."""

    transport: asyncio.Transport | None
    is_closing: bool
    is_read_paused: bool
    # Returns a context in which a fault only closes the connection.
    confined: Callable[[], AbstractContextManager[None]]

    def draw(self, holder: Holder, size: int) -> bool:
        """Draw bytes from the memory account; return whether there are any."""

    def give_back(self, holder: Holder, size: int) -> None:
        """Give bytes back to the memory account."""

    def cut(self, reason: str) -> None:
        """Refuse the request that is being read, or close the connection."""

    def abort(self) -> None:
        """Close the connection at once."""


class ReceiveBuffer:
    """Received bytes of a connection that wait to be parsed.

    While there are too many, the connection reads no more from its socket.

    Parameters
    ----------
    connection
        The connection; it takes no request while ``is_read_paused``.
    parser
        Parses the bytes.
    queue
        Gives the connections of a server their turns.
    socket_buffer_bytes
        What the socket of a connection that is not read may hold.
    read_ahead_bytes
        Bytes that may wait for a response while the connection reads on, to
        notice a disconnect.
    """

    def __init__(
        self,
        connection: BufferedConnection,
        parser: RequestParser,
        queue: ParsingQueue,
        socket_buffer_bytes: int,
        read_ahead_bytes: int = 0,
    ) -> None:
        """Create an empty buffer."""
        self.connection = connection
        self.parser = parser
        self.queue = queue
        self.socket_buffer_bytes = socket_buffer_bytes
        self.read_ahead_bytes = read_ahead_bytes
        self.unparsed = NOTHING
        # Bytes drawn for them, and for what the socket holds meanwhile.
        self.unparsed_cost = 0
        self.socket_cost = 0

    @property
    def cost(self) -> int:
        """Bytes drawn from the memory account."""
        return self.unparsed_cost + self.socket_cost

    @property
    def transport(self) -> asyncio.Transport | None:
        """Transport of the connection."""
        return self.connection.transport

    @property
    def has_backlog(self) -> bool:
        """Whether there are bytes that may be parsed now."""
        connection = self.connection
        is_stopped = connection.is_closing or connection.is_read_paused
        return bool(self.unparsed) and not is_stopped

    @property
    def costly_calls(self) -> int:
        """Parser calls for a body in many small parts; 0 for any other."""
        return self.parser.costly_calls

    def cut(self, reason: str) -> None:
        """Refuse the request that is being read, or close the connection."""
        self.connection.cut(reason)

    def abort(self) -> None:
        """Close the connection at once."""
        self.connection.abort()

    def receive(self, received: bytes) -> None:
        """Parse bytes now, or keep them until it is their turn."""
        is_waiting = bool(self.unparsed) or self.connection.is_read_paused
        if len(received) <= AT_ONCE_BYTES and not is_waiting:
            with self.connection.confined():
                self.parser.feed(received)
            return
        self.unparsed = memoryview(bytes(self.unparsed) + received)
        self.parse_some(CALLS_AT_ONCE)

    def parse_some(self, most_calls: int) -> int:
        """Parse while requests may be taken.

        Parameters
        ----------
        most_calls
            Calls of the parser after which no further step is begun.

        Returns
        -------
        int
            Number of calls.
        """
        parser = self.parser
        before = parser.calls
        with self.connection.confined():
            while self.has_backlog and parser.calls - before < most_calls:
                step = parser.step_bytes(len(self.unparsed))
                received = self.unparsed[:step]
                self.unparsed = self.unparsed[step:]
                parser.feed(received)
            self.hold()
        return parser.calls - before

    def hold(self) -> None:
        """Read no more until what was received is parsed."""
        if self.connection.is_closing or not self.unparsed:
            self.drop()
            return
        # The slice keeps all bytes of its object.
        cost = len(self.unparsed.obj)
        if cost > self.unparsed_cost:
            if not self.draw(Holder.UNPARSED, cost - self.unparsed_cost):
                return
            self.unparsed_cost = cost
        # Only now, as a paused transport notices no disconnect.
        if self.has_backlog:
            self.pause_transport()
            self.queue.add(self)
        elif len(self.unparsed) > self.read_ahead_bytes:
            self.pause_transport()

    def drop(self) -> None:
        """Hold no received bytes, and read on if requests may be taken."""
        self.unparsed = NOTHING
        self.connection.give_back(Holder.UNPARSED, self.unparsed_cost)
        self.unparsed_cost = 0
        if not self.connection.is_read_paused:
            self.resume_transport()

    def forget(self) -> None:
        """Hold nothing, after the account got everything back."""
        self.unparsed = NOTHING
        self.unparsed_cost = 0
        self.socket_cost = 0

    def pause_transport(self) -> None:
        """Leave what arrives in the buffer of the socket."""
        if self.transport is None or not self.transport.is_reading():
            return
        if self.draw(Holder.SOCKETS, self.socket_buffer_bytes):
            self.socket_cost = self.socket_buffer_bytes
            self.transport.pause_reading()
            self.queue.watch(self)

    def resume_transport(self) -> None:
        """Receive what arrives."""
        self.connection.give_back(Holder.SOCKETS, self.socket_cost)
        self.socket_cost = 0
        if self.transport is not None:
            self.transport.resume_reading()

    def draw(self, holder: Holder, size: int) -> bool:
        """Draw bytes from the memory account; return whether there are any."""
        return self.connection.draw(holder, size)
