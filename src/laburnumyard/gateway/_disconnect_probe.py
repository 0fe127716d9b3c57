"""Tells a caller that left from one that has closed only its sending side."""

from functools import partial

from laburnumyard.gateway._connection_timeout import ConnectionTimeout
from laburnumyard.transport import PacedWriter

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
    writer
        Writer of the connection, whose transport is lost if a probe fails.
    timeout
        Timeout of the connection.
    """

    def __init__(self, writer: PacedWriter, timeout: ConnectionTimeout) -> None:
        """Create a probe that has not started."""
        self.writer = writer
        self.timeout = timeout

    def start(self) -> None:
        """Write now, and after each delay."""
        self.write(PROBE_DELAYS_S)

    def write(self, delays_s: tuple[float, ...]) -> None:
        """Write once, and again after each of the delays."""
        if not self.writer.rest:
            # The pieces of a response that is being written are probes too.
            self.writer.write_between(INTERIM_RESPONSE)
        if delays_s:
            self.timeout.start(delays_s[0], partial(self.write, delays_s[1:]))
