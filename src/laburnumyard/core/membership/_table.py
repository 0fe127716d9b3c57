"""The member table: what one daemon knows of all others."""

from collections.abc import Callable

from laburnumyard.core.ids import (
    DaemonName,
    DataCentre,
    Incarnation,
    TargetName,
)
from laburnumyard.core.membership._directory import Directory
from laburnumyard.core.membership._effects import Effect
from laburnumyard.core.membership._events import Event
from laburnumyard.core.membership._inputs import Scope
from laburnumyard.core.membership._member import Identity
from laburnumyard.core.membership._reacting import react
from laburnumyard.core.membership._settings import MembershipSettings
from laburnumyard.core.membership._state import TableState, new_state


class MemberTable:
    """What one daemon knows of all others, and what it does to know it.

    Suspicion is soft: it steers where requests and roles go, and never decides
    who owns a key.

    Parameters
    ----------
    identity
        This daemon.
    settings
        Intervals and bounds.
    draw
        Returns a random number from 0 up to 1.

    Attributes
    ----------
    state
        Everything that is remembered, such as ``state.is_stale`` and
        ``state.is_superseded``.

    Examples
    --------
    ``for effect in table.handle(Tick(), now): run(effect)``
    """

    def __init__(
        self,
        identity: Identity,
        settings: MembershipSettings,
        draw: Callable[[], float],
    ) -> None:
        """Start knowing nobody."""
        self.state: TableState = new_state(identity, settings, draw)

    @property
    def directory(self) -> Directory:
        """All members and the answers that follow from their states."""
        return self.state.directory

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take an event.

        Parameters
        ----------
        event
            What happened.
        now
            The boot-time clock, in seconds.

        Returns
        -------
        list of Effect
            What the shell has to do, in this order.
        """
        self.state.now = now
        self.state.effects = []
        react(event, self.state)
        return self.state.effects

    def address_of(self, daemon: DaemonName) -> str | None:
        """Return where a member listens, or None if it is not known."""
        member = self.state.members.get(daemon)
        return member.identity.address if member else None

    def admits(self, daemon: DaemonName, incarnation: Incarnation) -> bool:
        """Tell whether a daemon may link, by the hello of its link.

        A process that a newer incarnation has replaced is refused by all, so
        nobody answers its probes and it stays stale.
        """
        member = self.state.members.get(daemon)
        if member is None:
            return True
        return incarnation >= member.identity.incarnation

    def live(self) -> tuple[Identity, ...]:
        """Return the live members, this daemon included unless it leaves."""
        return self.directory.live()

    def in_data_centre(self, data_centre: DataCentre) -> tuple[Identity, ...]:
        """Return the live members in a data centre."""
        return self.directory.in_data_centre(data_centre)

    def dispatcher_of(
        self,
        target: TargetName,
        data_centre: DataCentre,
    ) -> DaemonName | None:
        """Return who dispatches to a target, or None if nobody is live.

        Parameters
        ----------
        target
            The target.
        data_centre
            The data centre of the target.

        Returns
        -------
        DaemonName or None
            A live member of the data centre, else of its region, else any.
        """
        return self.directory.dispatcher_of(target, data_centre)

    def manager_of(self, scope: Scope) -> DaemonName | None:
        """Return the lease manager of a scope, never in its data centre."""
        managers = self.directory.managers_of(scope)
        return managers[0] if managers else None

    def deputy_of(self, scope: Scope) -> DaemonName | None:
        """Return who takes a scope over when its lease manager is lost."""
        managers = self.directory.managers_of(scope)
        return managers[1] if len(managers) > 1 else None

    def readers(self, data_centre: DataCentre) -> tuple[DaemonName, ...]:
        """Return who reads the store for a data centre."""
        return self.directory.readers(data_centre)

    def is_settled(self, now: float) -> bool:
        """Tell whether the live members can be relied on after a start.

        Parameters
        ----------
        now
            The boot-time clock, in seconds.

        Returns
        -------
        bool
            False until the table has been compared with that of another
            daemon, but no longer than ``join_timeout_s``.
        """
        state = self.state
        if state.has_joined:
            return True
        if state.started_at is None:
            return False
        return now - state.started_at >= state.settings.join_timeout_s

    def is_isolated(self, now: float) -> bool:
        """Tell whether nobody has been heard for long.

        Parameters
        ----------
        now
            The boot-time clock, in seconds.

        Returns
        -------
        bool
            False for a daemon that knows of nobody else.
        """
        if not self.state.members:
            return False
        heard_at = self.state.heard_anyone_at
        if heard_at is None:
            return True
        return now - heard_at >= self.state.settings.isolated_after_s
