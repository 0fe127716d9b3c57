"""Limits on the connections of callers, derived from those of the machine."""

import math
from dataclasses import dataclass

from laburnumyard.core.memory_account import MemoryAccount, account_of
from laburnumyard.intake._machine_limits import MachineLimits

# Part of the descriptors that callers may use; targets, peers and the store
# need the others.
CALLER_RATIO = 0.75
# Part of the descriptors above which a connection is closed at once.
CLOSE_RATIO = 0.875
# Part of the descriptors that targets may use, whatever callers use.
TARGET_RATIO = 0.125
# Part of the descriptors for health checks or for operators.
OPERATOR_RATIO = 0.0625
# Part of the callers' descriptors that one address may use: a load balancer
# may open nearly all of them, and the health check needs some.
ADDRESS_RATIO = 0.75
# Largest buffer of the system for each direction of a connection, if the memory
# is limited; the system reserves twice as much. A link of 100 Mbit/s needs this
# much for a round trip of 10 ms.
SOCKET_BUFFER_BYTES = 131_072
MIN_BUFFER_BYTES = 4096
# Part of the memory account that the buffers of callers' sockets share.
SOCKET_RATIO = 0.03125


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on the connections of one listener; 0 for no limit.

    Parameters
    ----------
    descriptors
        Number of descriptors that the process may open.
    for_each_address
        Connections from one address.
    connections
        Connections in total.
    socket_buffer_bytes
        Largest buffer of the system for each direction of a connection.
    socket_memory_bytes
        Memory for these buffers; the more connections there are, the smaller
        are those of a new one.
    """

    descriptors: int = 0
    for_each_address: int = 0
    connections: int = 0
    socket_buffer_bytes: int = 0
    socket_memory_bytes: float = 0

    @property
    def highest_accepted(self) -> int:
        """Descriptor from which no connection is accepted; 0 for none.

        A new connection gets the lowest number that is free, so its number
        tells how many descriptors are open at least.
        """
        return int(self.descriptors * CALLER_RATIO)

    def buffer_bytes(self, connections: int) -> int:
        """Return the size of the buffers of a new connection.

        Parameters
        ----------
        connections
            Number of connections, the new one included.
        """
        if not self.socket_memory_bytes:
            return self.socket_buffer_bytes
        share = max(self.socket_memory_bytes / connections, MIN_BUFFER_BYTES)
        return min(self.socket_buffer_bytes, int(share))

    def target_limit(self, callers: int) -> float:
        """Return how many connections to targets may be open.

        Parameters
        ----------
        callers
            Number of connections of callers.
        """
        if not self.descriptors:
            return math.inf
        reserved = self.descriptors * TARGET_RATIO
        return max(reserved, self.highest_accepted - callers)


NO_LIMITS = ConnectionLimits()


@dataclass(frozen=True, slots=True)
class IntakeBounds:
    """Bounds on what callers may make a process hold.

    Parameters
    ----------
    account
        Account of the memory of the process.
    callers, operators
        Limits on the connections of callers, and on those of health checks and
        operators.
    """

    account: MemoryAccount
    callers: ConnectionLimits
    operators: ConnectionLimits


def derive_bounds(
    configured: MachineLimits,
    own: MachineLimits,
    connections_per_address: int = 0,
) -> IntakeBounds:
    """Derive the bounds of a process from the limits of its machine.

    Buffers of sockets and the connections of one address are bounded only
    where the settings limit the memory and the descriptors: a machine without
    such limits may have room for more.

    Parameters
    ----------
    configured
        Limits of the settings; 0 for what the machine has.
    own
        Limits of the machine.
    connections_per_address
        Connections of callers from one address; 0 for a part of the
        descriptors.
    """
    account = account_of(configured.memory_mb or own.memory_mb)
    descriptors = configured.max_descriptors or own.max_descriptors
    for_each_address = connections_per_address or int(
        configured.max_descriptors * CALLER_RATIO * ADDRESS_RATIO
    )
    buffer_bytes = SOCKET_BUFFER_BYTES if configured.memory_mb else 0
    callers = ConnectionLimits(
        descriptors,
        for_each_address,
        socket_buffer_bytes=buffer_bytes,
        socket_memory_bytes=account.limit_bytes * SOCKET_RATIO,
    )
    operators = ConnectionLimits(
        connections=int(descriptors * OPERATOR_RATIO),
        socket_buffer_bytes=buffer_bytes,
    )
    return IntakeBounds(account, callers, operators)
