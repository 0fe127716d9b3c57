"""What this daemon knows of the deployment at the moment."""

from dataclasses import dataclass, field

from laburnumyard.core.configuration import Configuration
from laburnumyard.core.ids import (
    DaemonName,
    Incarnation,
    ServiceName,
    TargetName,
    Version,
)
from laburnumyard.core.membership import UNHEARD, MemberTable
from laburnumyard.core.ownership import Snapshot
from laburnumyard.core.routing import RoutingTable
from laburnumyard.schema._generated.objects import Fencing, Target
from laburnumyard.schema._generated.settings import Settings
from laburnumyard.wire import Peer

NO_VERSION = Version(0)


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
    configuration, configuration_version
        The configuration in force, None before the first.
    snapshots
        The newest head and assignment of each service.
    tables
        The routing table of each service.
    is_draining
        Whether the daemon is shutting down.
    """

    settings: Settings
    incarnation: Incarnation
    members: MemberTable
    configuration: Configuration | None = None
    configuration_version: Version = NO_VERSION
    snapshots: dict[ServiceName, Snapshot] = field(default_factory=dict)
    tables: dict[ServiceName, RoutingTable] = field(default_factory=dict)
    is_draining: bool = False

    @property
    def name(self) -> DaemonName:
        """The name of this daemon."""
        return DaemonName(self.settings.daemon.name)

    def take_snapshot(self, service: ServiceName, snapshot: Snapshot) -> None:
        """Route by a newer assignment."""
        version = snapshot.head.version
        self.snapshots[service] = snapshot
        self.tables[service] = RoutingTable(snapshot.assignment, version)

    def dispatcher_of(self, name: TargetName) -> DaemonName | None:
        """Return the daemon that dispatches to a target.

        A target without fencing is dispatched to by its guard alone.
        """
        target = self.configuration.targets.get(name)
        if target is None:
            return None
        if target.fencing is Fencing.none:
            return self._guard_of(name, target)
        return self.members.dispatcher_of(name, target.data_centre)

    def peer(self, daemon: DaemonName) -> Peer | None:
        """Return where another daemon listens; None if it is not known."""
        member = self.members.state.members.get(daemon)
        if member is None:
            return None
        identity = member.identity
        is_heard = identity.incarnation != UNHEARD
        incarnation = identity.incarnation if is_heard else None
        return Peer(daemon, identity.address, incarnation)

    def _guard_of(self, name: TargetName, target: Target) -> DaemonName | None:
        snapshot = self.snapshots.get(ServiceName(target.service))
        return snapshot.head.guards.get(name) if snapshot else None
