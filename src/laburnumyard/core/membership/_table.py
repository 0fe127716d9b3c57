"""The member table of a daemon."""

from collections.abc import Callable

from laburnumyard.core.ids import (
    DaemonName,
    DataCentre,
    Incarnation,
    TargetName,
)
from laburnumyard.core.membership._directory import Directory
from laburnumyard.core.membership._effects import Effect
from laburnumyard.core.membership._event_handlers import react
from laburnumyard.core.membership._events import Event
from laburnumyard.core.membership._local_events import Scope
from laburnumyard.core.membership._member import Identity
from laburnumyard.core.membership._settings import MembershipSettings
from laburnumyard.core.membership._state import TableState, new_state


class MemberTable:
    """Membership and failure detection as seen by one daemon.

    Suspicion is only a hint: it affects the routing of requests and roles, and
    never decides the ownership of a key.

    Parameters
    ----------
    identity
        This daemon.
    settings
        Intervals and bounds.
    draw
        Returns a random number in [0, 1).

    Attributes
    ----------
    state
        The mutable state, such as ``state.is_stale`` and
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
        """Start without members."""
        self.state: TableState = new_state(identity, settings, draw)

    @property
    def directory(self) -> Directory:
        """Members by name, with queries about liveness and roles."""
        return self.state.directory

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Apply an event.

        Parameters
        ----------
        event
            The event.
        now
            The boot-time clock, in seconds.

        Returns
        -------
        list of Effect
            The effects for the caller to execute, in this order.
        """
        self.state.now = now
        self.state.effects = []
        react(event, self.state)
        return self.state.effects

    def address_of(self, daemon: DaemonName) -> str | None:
        """Return the address of a member, or None if it is unknown."""
        member = self.state.members.get(daemon)
        return member.identity.address if member else None

    def admits(self, daemon: DaemonName, incarnation: Incarnation) -> bool:
        """Return whether the hello of an incoming link is accepted.

        Every member refuses a process that a newer incarnation has replaced, so
        its probes get no answer and it stays stale.
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
        """Return the dispatcher of a target, or None if no member is live.

        Parameters
        ----------
        target
            The target.
        data_centre
            The data centre of the target.

        Returns
        -------
        DaemonName or None
            A live member of the data centre, else of its region, else any live
            member.
        """
        return self.directory.dispatcher_of(target, data_centre)

    def manager_of(self, scope: Scope) -> DaemonName | None:
        """Return the lease manager of a scope, from another data centre."""
        managers = self.directory.managers_of(scope)
        return managers[0] if managers else None

    def deputy_of(self, scope: Scope) -> DaemonName | None:
        """Return the daemon that takes over if the lease manager fails."""
        managers = self.directory.managers_of(scope)
        return managers[1] if len(managers) > 1 else None

    def readers(self, data_centre: DataCentre) -> tuple[DaemonName, ...]:
        """Return the daemons that read the store for a data centre."""
        return self.directory.readers(data_centre)

    def is_settled(self, now: float) -> bool:
        """Return whether the set of live members is reliable after a start.

        Parameters
        ----------
        now
            The boot-time clock, in seconds.

        Returns
        -------
        bool
            False until the table has been compared with that of a peer, but at
            most for ``join_timeout_s``.
        """
        state = self.state
        if state.has_joined:
            return True
        if state.started_at is None:
            return False
        return now - state.started_at >= state.settings.join_timeout_s

    def is_isolated(self, now: float) -> bool:
        """Return whether no peer was heard for ``isolated_after_s``.

        Parameters
        ----------
        now
            The boot-time clock, in seconds.

        Returns
        -------
        bool
            False for a daemon without known peers.
        """
        if not self.state.members:
            return False
        heard_at = self.state.last_contact_at
        if heard_at is None:
            return True
        return now - heard_at >= self.state.settings.isolated_after_s
