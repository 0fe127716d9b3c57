"""Relays between daemons that can cut their links, one way or both."""

import asyncio
import socket
import threading
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from itertools import permutations

from standins._serve import bind, parse_address

READ_BYTES = 65_536
LOOPBACK = '127.0.0.1:0'


@dataclass(frozen=True, slots=True)
class Direction:
    """The bytes from one daemon to another.

    Parameters
    ----------
    sender, receiver
        The daemons' names.
    """

    sender: str
    receiver: str

    @property
    def back(self) -> 'Direction':
        """The other way."""
        return Direction(self.receiver, self.sender)


class LinkRelays:
    """One TCP relay for each ordered pair of daemons.

    A cut holds bytes and closes back, as a network does that drops packets:
    connections stay open, and after the healing late bytes still arrive.

    Parameters
    ----------
    daemons
        The real peer address of each daemon.
    """

    def __init__(self, daemons: dict[str, str]) -> None:
        """Bind the relays' ports; nothing is relayed yet."""
        self.daemons = daemons
        self.listeners: dict[Direction, socket.socket] = {
            Direction(*pair): bind(LOOPBACK)
            for pair in permutations(daemons, 2)
        }
        self.cuts: set[Direction] = set()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)

    def start(self) -> None:
        """Relay in a thread of its own."""
        self.healed = asyncio.Event()
        self.thread.start()
        asyncio.run_coroutine_threadsafe(self._listen(), self.loop).result()

    def stop(self) -> None:
        """Close all."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        for listener in self.listeners.values():
            listener.close()

    def addresses_for(self, daemon: str) -> dict[str, str]:
        """Return the relay's address for each address a daemon links to."""
        return {
            self.daemons[direction.receiver]: '{}:{}'.format(
                *listener.getsockname()
            )
            for direction, listener in self.listeners.items()
            if direction.sender == daemon
        }

    def cut(self, directions: Iterable[Direction]) -> None:
        """Let no more bytes pass in these directions."""
        self._change(self.cuts | set(directions))

    def heal(self) -> None:
        """Let everything pass again."""
        self._change(set())

    def directions_of(self, daemon: str) -> tuple[Direction, ...]:
        """Return all directions from and to a daemon."""
        return tuple(
            each
            for each in self.listeners
            if daemon in {each.sender, each.receiver}
        )

    def _change(self, cuts: set[Direction]) -> None:
        changed = self._put_in_force(cuts)
        asyncio.run_coroutine_threadsafe(changed, self.loop).result()

    async def _put_in_force(self, cuts: set[Direction]) -> None:
        self.cuts = cuts
        self.healed.set()
        self.healed = asyncio.Event()

    async def _listen(self) -> None:
        for direction, listener in self.listeners.items():
            serve = partial(self._relay, direction)
            await asyncio.start_server(serve, sock=listener)

    async def _relay(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        place = parse_address(self.daemons[direction.receiver])
        try:
            far_reader, far_writer = await asyncio.open_connection(*place)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(direction, reader, far_writer),
            self._pump(direction.back, far_reader, writer),
        )

    async def _pump(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await self._copy(direction, reader, writer)
        except OSError:
            # A reset travels no further than a close does.
            await self._wait_passable(direction)
        writer.close()

    async def _copy(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            content = await reader.read(READ_BYTES)
            await self._wait_passable(direction)
            if not content:
                return
            writer.write(content)
            await writer.drain()

    async def _wait_passable(self, direction: Direction) -> None:
        while direction in self.cuts:
            await self.healed.wait()
