"""Tells a caller that left from one that has closed only its sending side."""

import asyncio
from functools import partial

from laburnumyard.gateway._connection_timeout import ConnectionTimeout

# A caller may discard this interim response without having asked for it (RFC
# 9110, section 15.2.1).
INTERIM_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Pauses between the probes, in seconds: some round trips within a region, and
# one to anywhere.
PROBE_DELAYS_S = (0.05, 0.2)


class DisconnectProbe:
    """Writes to a connection whose caller sends no more.

    TCP shows both cases alike until something is written: the host of a caller
    that has closed its socket then resets the connection, and the next write
    fails.

    Parameters
    ----------
    transport
        Transport of the connection; lost if a probe fails.
    timeout
        Timeout of the connection.
    """

    def __init__(
        self, transport: asyncio.Transport, timeout: ConnectionTimeout
    ) -> None:
        """Create a probe that has not started."""
        self.transport = transport
        self.timeout = timeout

    def start(self) -> None:
        """Write now, and after each delay."""
        self.write(PROBE_DELAYS_S)

    def write(self, delays_s: tuple[float, ...]) -> None:
        """Write once, and again after each of the delays."""
        self.transport.write(INTERIM_RESPONSE)
        if delays_s:
            self.timeout.start(delays_s[0], partial(self.write, delays_s[1:]))
