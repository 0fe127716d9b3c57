"""Shares the time for parsing between the connections of a process.

A few kilobytes of short header lines or small chunks take thousands of calls of
the parser. A connection that received more than that waits for its turn, so
that ordinary requests are read and answered in between.
"""

import asyncio
import select
from collections import deque
from contextlib import suppress
from typing import Protocol

# Parser calls for which a connection needs no turn.
CALLS_AT_ONCE = 1024
# Parser calls in one iteration of the event loop, over all connections that
# wait for a turn.
CALLS_PER_ITERATION = 8192
# Connections that may wait with bodies in many small parts.
MAX_COSTLY = 8
# Interval between checks whether callers that are not read have left.
SWEEP_INTERVAL_S = 0.25
# Event mask of ``poll``, which reports errors and hang-ups in any case.
ONLY_ERRORS = 0
# Parts of a body, above which they are costly with fewer bytes than this on
# average: each is a call.
FREE_PARTS = 4096
MIN_PART_BYTES = 16


class ParsingConnection(Protocol):
    """A connection with received bytes that are not parsed.

    See ``ReceiveBuffer``, through which connections take part.
    """

    transport: asyncio.Transport | None

    @property
    def has_backlog(self) -> bool:
        """Whether there are bytes that may be parsed now."""

    @property
    def costly_calls(self) -> int:
        """Calls for a body in many small parts; 0 for any other."""

    def parse_some(self, most_calls: int) -> int:
        """Parse until a number of calls is reached; return the number."""

    def cut(self, reason: str) -> None:
        """Refuse the request that is being read, or close the connection."""

    def abort(self) -> None:
        """Close the connection at once."""


class ParsingQueue:
    """Connections that wait for their turn to be parsed."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.waiting: deque[ParsingConnection] = deque()
        self.turn: asyncio.Handle | None = None
        # Connections that are not read, whose callers may leave unnoticed.
        self.unread: set[ParsingConnection] = set()
        self.sweep_timer: asyncio.TimerHandle | None = None

    def add(self, connection: ParsingConnection) -> None:
        """Give a connection turns until everything is parsed."""
        if connection not in self.waiting:
            self.waiting.append(connection)
            self.refuse_costly()
        self.schedule_turn()

    def watch(self, connection: ParsingConnection) -> None:
        """Abort a connection that is not read if its caller resets it."""
        self.unread.add(connection)
        if self.sweep_timer is None:
            loop = asyncio.get_running_loop()
            self.sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def discard(self, connection: ParsingConnection) -> None:
        """Forget a connection that has ended."""
        self.unread.discard(connection)
        with suppress(ValueError):
            self.waiting.remove(connection)

    def schedule_turn(self) -> None:
        """Parse in the next iteration of the event loop."""
        if self.turn is None:
            self.turn = asyncio.get_running_loop().call_soon(self.run_turn)

    def run_turn(self) -> None:
        """Parse in turn, up to the bound for one iteration."""
        self.turn = None
        left = CALLS_PER_ITERATION
        while self.waiting and left > 0:
            connection = self.waiting.popleft()
            left -= max(1, connection.parse_some(CALLS_AT_ONCE))
            if connection.has_backlog:
                self.waiting.append(connection)
        self.refuse_costly()
        if self.waiting:
            self.schedule_turn()

    def refuse_costly(self) -> None:
        """Refuse the costliest bodies while too many of them wait."""
        costly = [each for each in self.waiting if each.costly_calls]
        costly.sort(key=lambda each: each.costly_calls)
        for connection in costly[MAX_COSTLY:]:
            self.waiting.remove(connection)
            connection.cut('small-parts')

    def sweep(self) -> None:
        """Abort the unread connections that were reset."""
        self.sweep_timer = None
        for connection in tuple(self.unread):
            transport = connection.transport
            if transport is None or transport.is_reading():
                self.unread.discard(connection)
            elif is_reset(transport):
                self.unread.discard(connection)
                connection.abort()
        for connection in tuple(self.unread)[:1]:
            self.watch(connection)


def is_costly_body(parts: int, size: int) -> bool:
    """Return whether a body has many small parts.

    Parameters
    ----------
    parts, size
        Number of parts so far, and their bytes.
    """
    return parts > FREE_PARTS and size < parts * MIN_PART_BYTES


def is_reset(transport: asyncio.Transport) -> bool:
    """Whether the peer has reset a connection that is not read."""
    link = transport.get_extra_info('socket')
    if link is None or link.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(link.fileno(), ONLY_ERRORS)
    return bool(poller.poll(0))
