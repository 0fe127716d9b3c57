"""What this daemon knows of the deployment at the moment."""

from dataclasses import dataclass, field

from laburnumyard.core.configuration import Configuration
from laburnumyard.core.ids import (
    DaemonName,
    Incarnation,
    ServiceName,
    TargetName,
)
from laburnumyard.core.membership import MemberTable
from laburnumyard.core.routing import RoutingTable
from laburnumyard.schema._generated.settings import Settings
from laburnumyard.wire import Peer


@dataclass(slots=True)
class View:
    """Configuration, assignments and members, as this daemon knows them.

    Parameters
    ----------
    settings
        The daemon's settings.
    incarnation
        The daemon's incarnation.
    members
        The other daemons.
    configuration
        The configuration in force, None before the first.
    tables
        The routing table of each service.
    is_draining
        Whether the daemon is shutting down.
    """

    settings: Settings
    incarnation: Incarnation
    members: MemberTable
    configuration: Configuration | None = None
    tables: dict[ServiceName, RoutingTable] = field(default_factory=dict)
    is_draining: bool = False

    @property
    def name(self) -> DaemonName:
        """The name of this daemon."""
        return DaemonName(self.settings.daemon.name)

    def dispatcher_of(self, target: TargetName) -> DaemonName | None:
        """Return the daemon that dispatches to a target."""
        place = self.configuration.targets.get(target)
        if place is None:
            return None
        return self.members.dispatcher_of(target, place.data_centre)

    def peer(self, daemon: DaemonName) -> Peer | None:
        """Return where another daemon listens; None if it is not known."""
        member = self.members.member(daemon)
        if member is None:
            return None
        return Peer(daemon, member.peer_address, member.incarnation)
