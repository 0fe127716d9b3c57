"""A gateway process whose links to targets can be cut: run as a module.

The first line of the file named by ``LABURNUMYARD_CUT`` is the kind of cut, or
nothing; the other lines are the addresses of the targets. The store, peers and
callers are reached as before.
"""

import asyncio
import os
import sys
import threading
import time
from collections.abc import Callable
from enum import Enum
from functools import partialmethod
from pathlib import Path
from typing import Any

from laburnumyard.platform.__main__ import main

CUT_VARIABLE = 'LABURNUMYARD_CUT'
POLL_S = 0.02


class Cut(Enum):
    """What happens to the links to targets."""

    NONE = ''
    # Nothing arrives, and no connection is opened.
    HANG = 'hang'
    # Connections are reset and new ones refused.
    RESET = 'reset'
    # New connections are refused; open ones live on.
    REFUSE = 'refuse'


class Links:
    """The connections of this process to targets."""

    def __init__(self, source: Path) -> None:
        """Read the file of the cut."""
        self.source = source
        self.cut = Cut.NONE
        self.addresses: set[str] = set()
        self.transports: list[Any] = []
        self.read()

    def read(self) -> None:
        """Read the kind of cut and the addresses."""
        kind, *addresses = self.source.read_text().split('\n')
        self.addresses = set(addresses)
        self.cut = Cut(kind)

    def follow(self, loop: asyncio.AbstractEventLoop) -> None:
        """Apply each change of the file, in a thread of its own."""
        while True:
            time.sleep(POLL_S)
            before = self.cut
            self.read()
            if self.cut is not before:
                loop.call_soon_threadsafe(self.apply)

    def apply(self) -> None:
        """Cut or heal the open connections."""
        for transport in self.transports:
            if self.cut is Cut.RESET:
                transport.abort()
            elif self.cut is Cut.HANG:
                transport.pause_reading()
                transport.write = _lose
            elif not transport.is_reading():
                del transport.write
                transport.resume_reading()

    async def check(self, address: str) -> None:
        """Hang or fail as a new connection would."""
        if address not in self.addresses or self.cut is Cut.NONE:
            return
        if self.cut is Cut.HANG:
            await asyncio.sleep(3600)
        raise ConnectionRefusedError(f'{address} is cut off')

    def add(self, address: str, transport: Any) -> None:
        """Remember an open connection, if it is to a target."""
        if address in self.addresses:
            self.transports.append(transport)
            self.transports = [
                each for each in self.transports if not each.is_closing()
            ]


async def _create_connection(
    loop: asyncio.AbstractEventLoop,
    links: Links,
    connect: Callable[..., Any],
    factory: Callable[[], Any],
    *where: Any,
    **options: Any,
) -> Any:
    """Open a connection unless its link is cut."""
    address = ':'.join(map(str, where))
    await links.check(address)
    opened = await connect(loop, factory, *where, **options)
    links.add(address, opened[0])
    return opened


def _run_forever(
    loop: asyncio.AbstractEventLoop,
    links: Links,
    run: Callable[[asyncio.AbstractEventLoop], None],
) -> None:
    """Run a loop, and apply the cuts to its connections."""
    threading.Thread(target=links.follow, args=(loop,), daemon=True).start()
    run(loop)


def _lose(content: bytes) -> None:
    """Drop what is written, as a cut link does."""


def run() -> int:
    """Run the gateway and return its exit code."""
    links = Links(Path(os.environ[CUT_VARIABLE]))
    base: Any = asyncio.BaseEventLoop
    base.create_connection = partialmethod(
        _create_connection, links, base.create_connection
    )
    base.run_forever = partialmethod(_run_forever, links, base.run_forever)
    return main()


if __name__ == '__main__':
    sys.exit(run())
