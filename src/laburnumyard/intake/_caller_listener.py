"""Accepts connections of callers while there are descriptors for them."""

import asyncio
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial

from laburnumyard.intake._connection_limits import (
    CLOSE_RATIO,
    ConnectionLimits,
)
from laburnumyard.intake._idle_connections import ANY_ADDRESS
from laburnumyard.telemetry import METRICS, Event, log_event

LISTEN_BACKLOG = 1024
# Connections that are accepted in one iteration of the loop.
ACCEPT_BATCH = 64
# Time until accepting is tried again without a connection having ended.
RETRY_S = 0.25

Work = Callable[[], Awaitable[object]]


class CallerListener:
    """Listening socket that stops accepting before descriptors run out.

    Parameters
    ----------
    connect
        Creates the protocol of a connection from an address.
    start
        Runs an asynchronous function in the background.
    limits
        Limits on the connections.
    free_one
        Closes a connection that does nothing, of one address if it is given,
        and returns whether there was one.
    """

    def __init__(
        self,
        connect: Callable[[str], asyncio.Protocol],
        start: Callable[[Work], None],
        limits: ConnectionLimits,
        free_one: Callable[[str], bool],
    ) -> None:
        """Create a listener without a socket; see ``start``."""
        self.connect = connect
        self.start_task = start
        self.limits = limits
        self.free_one = free_one
        self.loop = asyncio.get_running_loop()
        self.sockets: tuple[socket.socket, ...] = ()
        self.addresses: Counter[str] = Counter()
        self.is_paused = False

    def start(self, host: str, port: int) -> None:
        """Listen on an address.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        # asyncio sets TCP_NODELAY only where the protocol is named.
        listener = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        try:
            self.bind(listener, host, port)
        except OSError:
            listener.close()
            raise
        self.accept_from(listener)

    def accept_from(self, listener: socket.socket) -> None:
        """Accept connections of a socket that listens already."""
        self.sockets = (listener,)
        self.loop.add_reader(listener, self.accept)

    def bind(self, listener: socket.socket, host: str, port: int) -> None:
        """Bind a socket; accepted ones inherit its options."""
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        size = self.limits.socket_buffer_bytes
        if size:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)

    def accept(self) -> None:
        """Accept the connections that wait."""
        for _ in range(ACCEPT_BATCH):
            if self.is_paused or not self.sockets:
                return
            try:
                link, address = self.sockets[0].accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as fault:
                self.pause(repr(fault))
                return
            self.admit(link, address[0])

    def admit(self, link: socket.socket, address: str) -> None:
        """Start a connection, unless its address has too many."""
        limits = self.limits
        number = link.fileno()
        has_limit = bool(limits.descriptors)
        if has_limit and number >= limits.descriptors * CLOSE_RATIO:
            self.refuse(link, 'descriptors')
        elif self.has_most(address) and not self.free_one(address):
            self.refuse(link, 'connections-of-address')
        elif self.has_most_in_total and not self.free_one(ANY_ADDRESS):
            self.refuse(link, 'connections')
        else:
            self.addresses[address] += 1
            self.shrink_buffers(link)
            work = partial(
                self.loop.connect_accepted_socket,
                partial(self.connect, address),
                link,
            )
            self.start_task(work)
        if has_limit and number >= limits.highest_accepted:
            self.pause('descriptors')

    def shrink_buffers(self, link: socket.socket) -> None:
        """Give a new connection smaller buffers if there are many."""
        size = self.limits.buffer_bytes(self.addresses.total())
        if size < self.limits.socket_buffer_bytes:
            link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            link.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    def has_most(self, address: str) -> bool:
        """Whether an address has as many connections as it may have."""
        limit = self.limits.for_each_address
        return bool(limit) and self.addresses[address] >= limit

    @property
    def has_most_in_total(self) -> bool:
        """Whether there are as many connections as there may be."""
        limit = self.limits.connections
        return bool(limit) and self.addresses.total() >= limit

    def refuse(self, link: socket.socket, reason: str) -> None:
        """Close a connection that was just accepted."""
        link.close()
        METRICS.count('cuts_total', reason=reason)
        log_event(Event.CUT, 'WARNING', reason=reason)

    def pause(self, reason: str) -> None:
        """Accept no connection until one ends, or for a while."""
        if self.is_paused or not self.sockets:
            return
        self.is_paused = True
        self.loop.remove_reader(self.sockets[0])
        METRICS.count('accept_pauses_total')
        log_event(Event.LISTENER, 'WARNING', state='paused', reason=reason)
        self.loop.call_later(RETRY_S, self.resume)
        self.free_one(ANY_ADDRESS)

    def resume(self) -> None:
        """Accept connections again."""
        if self.is_paused and self.sockets:
            self.is_paused = False
            self.loop.add_reader(self.sockets[0], self.accept)

    def note_end(self, address: str) -> None:
        """Note that a connection from an address has ended."""
        self.addresses[address] -= 1
        if self.addresses[address] <= 0:
            del self.addresses[address]
        self.resume()

    def close(self) -> None:
        """Stop listening."""
        for listener in self.sockets:
            self.loop.remove_reader(listener)
            listener.close()
        self.sockets = ()
