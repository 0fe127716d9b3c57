"""Kept connections to targets."""

import asyncio
from collections import defaultdict

from expression import Result

from laburnumyard.core.ids import Seconds
from laburnumyard.transport import TargetConnection, TargetFailure

# The largest answer that is passed on; the platform's callers get up to 9 kB,
# and a gateway's memory is 200 MB.
MAX_RESPONSE_BYTES = 16_777_216
# A target that does not accept within this time is not reached, in seconds:
# many times the travel time, and a fraction of the callers' objectives.
CONNECT_TIMEOUT_S = 0.3
# A connection is used again up to this part of the time that its target
# states, which counts from another moment than ours.
IDLE_TIMEOUT_FRACTION = 0.7
# The idle time taken where a target states none, in seconds.
DEFAULT_IDLE_TIMEOUT_S = 3.0
# A request that must not run twice is lost if the target closes the connection
# just then; it gets one that was in use this lately, in seconds.
RECENT_USE_S = 1.5
# Connections kept to one target; slots are few, and targets count the
# connections of all gateways.
MAX_IDLE_CONNECTIONS = 4


class TargetConnectionPool:
    """Connections by the address of the target.

    A connection that becomes readable while it is idle, or is closed by the
    target, is dropped.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self.idle: defaultdict[str, list[TargetConnection]]
        self.idle = defaultdict(list)
        self.limits: dict[str, Seconds] = {}
        self.opened = 0

    async def acquire(
        self, address: str, *, is_repeatable: bool
    ) -> Result[TargetConnection, TargetFailure]:
        """Return a connection for one request.

        Parameters
        ----------
        address
            The target.
        is_repeatable
            Whether the request may run twice.
        """
        now = asyncio.get_running_loop().time()
        limit = self.limits.get(address, DEFAULT_IDLE_TIMEOUT_S)
        if not is_repeatable:
            limit = min(limit, RECENT_USE_S)
        kept = self.idle[address]
        while kept:
            connection = kept.pop()
            if connection.is_reusable and now - connection.used_at < limit:
                return Result.Ok(connection)
            connection.close()
        self.opened += 1
        return await TargetConnection.open(
            address, MAX_RESPONSE_BYTES, CONNECT_TIMEOUT_S
        )

    def release(
        self, connection: TargetConnection, idle_limit_s: Seconds | None
    ) -> None:
        """Keep a connection, or close it if it cannot be used again.

        Parameters
        ----------
        connection
            One whose answer was read.
        idle_limit_s
            How long its target keeps it, None where it did not say.
        """
        kept = self.idle[connection.address]
        if not connection.is_reusable or len(kept) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        if idle_limit_s is not None:
            limit = Seconds(idle_limit_s * IDLE_TIMEOUT_FRACTION)
            self.limits[connection.address] = limit
        kept.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()
