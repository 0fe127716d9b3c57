"""Pool of idle connections to targets."""

import asyncio
import math
from collections import defaultdict
from collections.abc import Callable
from functools import partial

from expression import Result

from laburnumyard.core.ids import Seconds
from laburnumyard.core.memory_account import MemoryAccount
from laburnumyard.transport import (
    ResponseMemory,
    TargetConnection,
    TargetFailure,
)

# Largest response that is passed on; the platform's callers get up to 9 kB,
# and a gateway has 200 MB of memory.
MAX_RESPONSE_BYTES = 16_777_216
# Bound on all responses that are not complete: a quarter of the memory of the
# smallest VM.
MAX_INCOMPLETE_BYTES = 50_331_648
# Connect timeout: many times the network round trip, and a fraction of the
# callers' latency objectives.
CONNECT_TIMEOUT_S = 0.3
# Fraction of the stated keep-alive time in which a connection is reused, as the
# target counts that time from another moment.
IDLE_TIMEOUT_FRACTION = 0.7
# Used if a target states no keep-alive time.
DEFAULT_IDLE_TIMEOUT_S = 3.0
# Idle limit of connections for requests that must not run twice: such a request
# is lost if the target closes the idle connection at the same moment.
RECENT_USE_S = 1.5
# Idle connections per target: slots are few, and a target counts the
# connections of all gateways.
MAX_IDLE_CONNECTIONS = 4


def unlimited() -> float:
    """Return that any number of connections may be open."""
    return math.inf


class TargetConnectionPool:
    """Idle connections by target address.

    A connection that receives data while idle, or is closed by the target, is
    dropped.

    Parameters
    ----------
    account
        Account of the memory of the process.
    max_connections
        Returns how many connections may be open now, idle ones included.
    """

    def __init__(
        self,
        account: MemoryAccount | None = None,
        max_connections: Callable[[], float] = unlimited,
    ) -> None:
        """Create an empty pool."""
        self.max_connections = max_connections
        # Numbers of the connections that are open or being opened.
        self.connections: set[int] = set()
        self.idle: defaultdict[str, list[TargetConnection]]
        self.idle = defaultdict(list)
        self.limits: dict[str, Seconds] = {}
        self.memory = ResponseMemory(
            MAX_INCOMPLETE_BYTES, account=account or MemoryAccount()
        )
        self.opened = 0

    @property
    def is_full(self) -> bool:
        """Whether no connection may be opened until a request ends."""
        if not self.has_most:
            return False
        idle = sum(map(len, self.idle.values()))
        return len(self.connections) - idle >= self.max_connections()

    @property
    def has_most(self) -> bool:
        """Whether as many connections are open as may be."""
        return len(self.connections) >= self.max_connections()

    async def acquire(
        self,
        address: str,
        *,
        is_repeatable: bool,
        allows_idle: bool = True,
    ) -> Result[TargetConnection, TargetFailure]:
        """Return a pooled or new connection for one request.

        Parameters
        ----------
        address
            ``IP:PORT`` of the target.
        is_repeatable
            Whether the request may safely run twice.
        allows_idle
            Whether a connection that was used before may be returned.
        """
        now = asyncio.get_running_loop().time()
        limit = self.limits.get(address, DEFAULT_IDLE_TIMEOUT_S)
        if not is_repeatable:
            limit = min(limit, RECENT_USE_S)
        idle_connections = self.idle[address]
        while allows_idle and idle_connections:
            connection = idle_connections.pop()
            if connection.is_reusable and now - connection.used_at < limit:
                return Result.Ok(connection)
            connection.close()
        if self.has_most:
            self.close_idle_one()
        self.opened += 1
        return await self.open(address)

    async def open(
        self, address: str
    ) -> Result[TargetConnection, TargetFailure]:
        """Return a new connection, which is counted until it is closed."""
        number = self.opened
        self.connections.add(number)
        is_open = False
        try:
            opened = await TargetConnection.open(
                address,
                MAX_RESPONSE_BYTES,
                CONNECT_TIMEOUT_S,
                self.memory,
                partial(self.connections.discard, number),
            )
            is_open = opened.is_ok()
        finally:
            if not is_open:
                self.connections.discard(number)
        return opened

    def close_idle_one(self) -> None:
        """Close the connection of the pool that was not used for longest."""
        used = (each for each in self.idle.values() if each)
        oldest = min(used, key=lambda each: each[0].used_at, default=None)
        if oldest is not None:
            oldest.pop(0).close()

    def release(
        self, connection: TargetConnection, idle_limit_s: Seconds | None
    ) -> None:
        """Return a connection to the pool, or close it if not reusable.

        Parameters
        ----------
        connection
            Connection whose response was read.
        idle_limit_s
            Keep-alive time stated by the target, None without one.
        """
        idle_connections = self.idle[connection.address]
        if (
            not connection.is_reusable
            or len(idle_connections) >= MAX_IDLE_CONNECTIONS
        ):
            connection.close()
            return
        if idle_limit_s is not None:
            limit = Seconds(idle_limit_s * IDLE_TIMEOUT_FRACTION)
            self.limits[connection.address] = limit
        idle_connections.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()
