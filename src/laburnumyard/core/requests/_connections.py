"""Which connection to a target carries a request, and which is closed."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from laburnumyard.core.ids import Seconds

ConnectionId = NewType('ConnectionId', int)

# No connection is used after this age.
AGE_LIMIT_S = 60
# No connection is used after this time without an answer.
IDLE_LIMIT_S = 2
# The same for a request that must not be lost to a stale connection.
UNREPEATABLE_IDLE_LIMIT_S = 0.1


@dataclass(slots=True)
class Connection:
    """An open connection to a target.

    Parameters
    ----------
    connection_id
        Unique at this daemon.
    opened
        When it was opened.
    last_answer
        When the last whole answer came over it; ``opened`` before the first.
    is_fresh
        Whether it has not yet carried an answer.
    """

    connection_id: ConnectionId
    opened: Seconds
    last_answer: Seconds
    is_fresh: bool = True


class Reach(Enum):
    """What the daemon's own requests say about a target."""

    REACHABLE = 'reachable'
    # A request timed out; only a fresh connection can tell why.
    SUSPECTED = 'suspected'
    # A fresh connection failed, too.
    UNREACHABLE = 'unreachable'


@dataclass(frozen=True, slots=True)
class Choice:
    """The connection for one request.

    Parameters
    ----------
    reuse
        The connection to use; ``None`` to open a fresh one.
    close
        Connections to close first.
    """

    reuse: ConnectionId | None
    close: tuple[ConnectionId, ...]


class ConnectionPolicy:
    """Decisions on the connections from one daemon to one target."""

    def __init__(self) -> None:
        """Start without any doubt about the target."""
        self.reach = Reach.REACHABLE
        # A connection without an answer since then may have gone silent.
        self.doubted_at: Seconds | None = None

    def choose(
        self,
        idle: Sequence[Connection],
        repeatable: bool,
        now: Seconds,
    ) -> Choice:
        """Choose the connection for a request.

        Parameters
        ----------
        idle
            The connections that carry no request.
        repeatable
            Whether the request may be sent twice.
        now
            The time.

        Returns
        -------
        Choice
            The connection that was used last, as far as it may be used.
        """
        close = tuple(
            connection.connection_id
            for connection in idle
            if not self.is_usable(connection, now)
        )
        longest = IDLE_LIMIT_S if repeatable else UNREPEATABLE_IDLE_LIMIT_S
        candidates = [
            connection
            for connection in idle
            if connection.connection_id not in close
            and now - connection.last_answer <= longest
        ]
        if not candidates:
            return Choice(None, close)
        latest = max(candidates, key=_last_answer)
        return Choice(latest.connection_id, close)

    def is_usable(self, connection: Connection, now: Seconds) -> bool:
        """Tell whether an idle connection may be kept."""
        if now - connection.opened > AGE_LIMIT_S:
            return False
        if now - connection.last_answer > IDLE_LIMIT_S:
            return False
        return self.doubted_at is None or (
            connection.last_answer > self.doubted_at
        )

    def on_answer(
        self,
        connection: Connection,
        is_whole: bool,
        now: Seconds,
    ) -> bool:
        """Take in an answer; tell whether the connection may be kept.

        Parameters
        ----------
        connection
            The connection that carried it.
        is_whole
            Whether it was read to its end and the target keeps the
            connection open. Otherwise what comes next over the connection
            could reach another caller.
        now
            The time.
        """
        self.reach = Reach.REACHABLE
        if not is_whole:
            return False
        connection.last_answer = now
        connection.is_fresh = False
        return self.is_usable(connection, now)

    def on_timeout(self, connection: Connection, sent: Seconds) -> None:
        """Take in that no answer came; the connection has to be closed.

        Parameters
        ----------
        connection
            The connection that was silent.
        sent
            When the request was sent. What has been silent since before
            then is doubted as well.
        """
        self.doubted_at = max(self.doubted_at or sent, sent)
        self.reach = (
            Reach.UNREACHABLE
            if connection.is_fresh and self.reach is not Reach.REACHABLE
            else Reach.SUSPECTED
        )

    def on_connect_failure(self) -> None:
        """Take in that a fresh connection could not be opened."""
        self.reach = Reach.UNREACHABLE


def _last_answer(connection: Connection) -> Seconds:
    return connection.last_answer
