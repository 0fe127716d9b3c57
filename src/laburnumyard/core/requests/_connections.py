"""Selection and retirement of pooled connections to a target."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from laburnumyard.core.ids import Seconds

ConnectionId = NewType('ConnectionId', int)

# Connections older than this are closed.
AGE_LIMIT_S = 60
# Connections without an answer for this long are closed.
IDLE_LIMIT_S = 2
# Stricter limit for requests that cannot be resent after they were lost on
# a stale connection.
UNREPEATABLE_IDLE_LIMIT_S = 0.1


@dataclass(slots=True)
class Connection:
    """An open connection to a target.

    Parameters
    ----------
    connection_id
        Unique within this daemon.
    opened
        When it was opened, in seconds.
    last_answer
        When the last complete answer was received; equal to ``opened`` before
        the first.
    is_fresh
        Whether no answer has been received on it yet.
    """

    connection_id: ConnectionId
    opened: Seconds
    last_answer: Seconds
    is_fresh: bool = True


class Reachability(Enum):
    """Reachability of a target as seen from this daemon's own requests."""

    REACHABLE = 'reachable'
    # A request timed out; a new connection shows whether the target or the old
    # connection failed.
    SUSPECTED = 'suspected'
    # A new connection failed as well.
    UNREACHABLE = 'unreachable'


@dataclass(frozen=True, slots=True)
class ConnectionChoice:
    """The connection selected for one request.

    Parameters
    ----------
    reuse
        The connection to use; ``None`` to open a new one.
    close
        Connections to close first.
    """

    reuse: ConnectionId | None
    close: tuple[ConnectionId, ...]


class ConnectionPolicy:
    """Policy for the connections from one daemon to one target."""

    def __init__(self) -> None:
        """Assume that the target is reachable."""
        self.reachability = Reachability.REACHABLE
        # Connections without an answer since then may be half-open.
        self.suspected_since: Seconds | None = None

    def choose(
        self,
        idle: Sequence[Connection],
        repeatable: bool,
        now: Seconds,
    ) -> ConnectionChoice:
        """Select the connection for a request.

        Parameters
        ----------
        idle
            The connections without a request in flight.
        repeatable
            Whether the request may be sent more than once.
        now
            The current time, in seconds.

        Returns
        -------
        ConnectionChoice
            The most recently answered connection within the limits.
        """
        close = tuple(
            connection.connection_id
            for connection in idle
            if not self.is_usable(connection, now)
        )
        idle_limit = IDLE_LIMIT_S if repeatable else UNREPEATABLE_IDLE_LIMIT_S
        candidates = [
            connection
            for connection in idle
            if connection.connection_id not in close
            and now - connection.last_answer <= idle_limit
        ]
        if not candidates:
            return ConnectionChoice(None, close)
        latest = max(candidates, key=_last_answer)
        return ConnectionChoice(latest.connection_id, close)

    def is_usable(self, connection: Connection, now: Seconds) -> bool:
        """Return whether an idle connection may be kept."""
        if now - connection.opened > AGE_LIMIT_S:
            return False
        if now - connection.last_answer > IDLE_LIMIT_S:
            return False
        return self.suspected_since is None or (
            connection.last_answer > self.suspected_since
        )

    def on_answer(
        self,
        connection: Connection,
        is_whole: bool,
        now: Seconds,
    ) -> bool:
        """Record an answer and return whether the connection may be kept.

        Parameters
        ----------
        connection
            The connection on which it was received.
        is_whole
            Whether it was read completely and the target keeps the connection
            open. Otherwise bytes left on the connection could be delivered
            to another caller.
        now
            The current time, in seconds.
        """
        self.reachability = Reachability.REACHABLE
        if not is_whole:
            return False
        connection.last_answer = now
        connection.is_fresh = False
        return self.is_usable(connection, now)

    def on_timeout(self, connection: Connection, sent: Seconds) -> None:
        """Record a request timeout; the connection has to be closed.

        Parameters
        ----------
        connection
            The connection that timed out.
        sent
            When the request was sent. Connections without an answer since
            then are suspected too.
        """
        self.suspected_since = max(self.suspected_since or sent, sent)
        self.reachability = (
            Reachability.UNREACHABLE
            if connection.is_fresh
            and self.reachability is not Reachability.REACHABLE
            else Reachability.SUSPECTED
        )

    def on_connect_failure(self) -> None:
        """Record that a new connection could not be opened."""
        self.reachability = Reachability.UNREACHABLE


def _last_answer(connection: Connection) -> Seconds:
    return connection.last_answer
