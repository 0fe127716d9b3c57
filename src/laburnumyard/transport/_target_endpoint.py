"""Orders to one target over persistent connections."""

import math
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from expression import Error

from laburnumyard.transport._endpoint import (
    KEEP_ALIVE_OPTIONS,
    MAX_IDLE_CONNECTIONS,
)
from laburnumyard.transport._target_connection import Answered, TargetConnection
from laburnumyard.transport._target_exchange import (
    FailureKind,
    TargetFailure,
    TargetRequest,
    TargetResponse,
)

# Replies to orders have no body, or a short text.
MAX_REPLY_BYTES = 65_536
# A target that has replied within this time has not been restarted since, so a
# new connection to it continues the old one.
CONTINUITY_S = 0.1


@dataclass(slots=True)
class TargetEndpoint:
    """Sends orders to one target, and bounds what it may reply.

    Parameters
    ----------
    address
        ``IP:PORT`` of the target.

    Attributes
    ----------
    replied_at
        Time of the last complete reply, in seconds of the event loop.
    """

    address: str
    replied_at: float = -math.inf
    idle: list[TargetConnection] = field(default_factory=list)

    async def exchange(
        self,
        request: TargetRequest,
        timeout_s: float,
        *,
        may_reconnect: bool,
        identifies: Callable[[TargetResponse], bool] | None = None,
    ) -> Answered:
        """Send an order and return the complete reply.

        Parameters
        ----------
        request
            Request to send.
        timeout_s
            Timeout of the whole exchange, in seconds.
        may_reconnect
            Whether the target may have been restarted since its last reply. If
            not, nothing is sent without a connection that is still open.
        identifies
            Returns whether a reply on a connection with earlier ones must be
            the due one; None if that need not be known. A faulty target may
            repeat an earlier reply, and orders have no identifier. After a
            reply that may be another one, the order is sent once more, on a
            new connection.
        """
        if not may_reconnect and not self._is_continued():
            return self._fail('no open connection')
        ends_at = anyio.current_time() + timeout_s
        connection = self._take_idle()
        if connection is not None:
            answered = await self._send(connection, request, ends_at)
            is_due = identifies is None or answered.is_error()
            if is_due or identifies(answered.ok):
                self._release(connection)
                return answered
            connection.close()
        opened = await TargetConnection.open(
            self.address, MAX_REPLY_BYTES, ends_at - anyio.current_time()
        )
        if opened.is_error():
            return Error(opened.error)
        _keep_alive(opened.ok)
        answered = await self._send(opened.ok, request, ends_at)
        self._release(opened.ok)
        return answered

    async def _send(
        self,
        connection: TargetConnection,
        request: TargetRequest,
        ends_at: float,
    ) -> Answered:
        left_s = ends_at - anyio.current_time()
        answered = await connection.send(request, max(0, left_s))
        if answered.is_ok():
            self.replied_at = anyio.current_time()
        return answered

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().close()

    def _fail(self, detail: str) -> Answered:
        return Error(
            TargetFailure(
                FailureKind.UNREACHABLE,
                has_left=False,
                detail=f'{detail} to {self.address}',
            )
        )

    def _is_continued(self) -> bool:
        """Whether the target is certainly the one that replied last."""
        if any(connection.is_reusable for connection in self.idle):
            return True
        return anyio.current_time() - self.replied_at < CONTINUITY_S

    def _take_idle(self) -> TargetConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return None

    def _release(self, connection: TargetConnection) -> None:
        if connection.is_reusable and len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(connection)
        else:
            connection.close()


def _keep_alive(connection: TargetConnection) -> None:
    """Have the system detect a silent connection while it is idle."""
    if connection.transport is None:
        return
    link: socket.socket = connection.transport.get_extra_info('socket')
    for option in KEEP_ALIVE_OPTIONS:
        link.setsockopt(*option)
