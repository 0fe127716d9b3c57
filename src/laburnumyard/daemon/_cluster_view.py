"""Deployment state as currently known to this daemon."""

from dataclasses import dataclass, field
from enum import Enum

import anyio

from laburnumyard.clocks import boot_time, new_incarnation, random_fraction
from laburnumyard.core.configuration import Configuration
from laburnumyard.core.ids import (
    DaemonName,
    DataCentre,
    Incarnation,
    Region,
    ServiceName,
    TargetName,
    Version,
)
from laburnumyard.core.membership import (
    Identity,
    MembershipSettings,
    MemberState,
    MemberTable,
)
from laburnumyard.core.ownership import Snapshot
from laburnumyard.core.rendezvous_hashing import rank
from laburnumyard.core.routing_table import RoutingTable
from laburnumyard.schema._generated.objects import Fencing, Target
from laburnumyard.schema._generated.settings import Settings
from laburnumyard.wire import Peer

NO_VERSION = Version(0)
NO_DAEMONS: frozenset[DaemonName] = frozenset()


class LifecycleStage(Enum):
    """Stage of a daemon's shutdown."""

    SERVING = 'serving'
    # Not ready and without roles, but still serving callers.
    LEAVING = 'leaving'
    # Refusing new requests while those in flight finish.
    DRAINING = 'draining'


@dataclass(slots=True)
class ClusterView:
    """Configuration, assignments and members known to this daemon.

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
    stage
        Stage of the daemon's shutdown.
    changes
        Events set on the next assignment of a service, for its waiters.
    """

    settings: Settings
    incarnation: Incarnation
    members: MemberTable
    configuration: Configuration | None = None
    configuration_version: Version = NO_VERSION
    snapshots: dict[ServiceName, Snapshot] = field(default_factory=dict)
    tables: dict[ServiceName, RoutingTable] = field(default_factory=dict)
    stage: LifecycleStage = LifecycleStage.SERVING
    changes: dict[ServiceName, anyio.Event] = field(default_factory=dict)

    @property
    def name(self) -> DaemonName:
        """The name of this daemon."""
        return DaemonName(self.settings.daemon.name)

    @property
    def is_leaving(self) -> bool:
        """Whether the daemon takes no role and no new connection."""
        return self.stage is not LifecycleStage.SERVING

    @property
    def is_draining(self) -> bool:
        """Whether the daemon refuses new requests."""
        return self.stage is LifecycleStage.DRAINING

    def apply_snapshot(self, service: ServiceName, snapshot: Snapshot) -> None:
        """Use a newer assignment for routing."""
        version = snapshot.head.version
        self.snapshots[service] = snapshot
        self.tables[service] = RoutingTable(snapshot.assignment, version)
        self.changes.pop(service, anyio.Event()).set()

    async def wait_snapshot(self, service: ServiceName) -> None:
        """Wait for a newer assignment of a service."""
        if service not in self.changes:
            self.changes[service] = anyio.Event()
        await self.changes[service].wait()

    def dispatcher_of(
        self,
        name: TargetName,
        avoided: frozenset[DaemonName] = NO_DAEMONS,
    ) -> DaemonName | None:
        """Return the daemon that dispatches to a target.

        Parameters
        ----------
        name
            The target.
        avoided
            Daemons that were recently unreachable.

        Returns
        -------
        DaemonName or None
            None if there is none. Only its guard dispatches to a target
            without fencing.
        """
        target = self.configuration.targets.get(name)
        if target is None:
            return None
        if target.fencing is Fencing.none:
            return self._guard_of(name, target)
        if not avoided:
            return self.members.dispatcher_of(name, target.data_centre)
        return self._reachable_dispatcher(name, target, avoided)

    def _reachable_dispatcher(
        self,
        name: TargetName,
        target: Target,
        avoided: frozenset[DaemonName],
    ) -> DaemonName | None:
        near = self.members.in_data_centre(DataCentre(target.data_centre))
        for group in (near, self.members.live()):
            names = {each.daemon for each in group} - avoided
            if names:
                return DaemonName(rank(f'dispatcher/{name}', names)[0])
        return None

    @property
    def knows_members(self) -> bool:
        """Whether the membership has settled since the start."""
        return self.members.is_settled(boot_time())

    def peer(self, daemon: DaemonName) -> Peer | None:
        """Return the address of another daemon; None if it is unknown.

        A suspected member may have been restarted, so any incarnation of it
        is accepted.
        """
        member = self.members.state.members.get(daemon)
        if member is None:
            return None
        identity = member.identity
        is_live = member.state is MemberState.LIVE
        incarnation = identity.incarnation if is_live else None
        return Peer(daemon, identity.address, incarnation)

    def _guard_of(self, name: TargetName, target: Target) -> DaemonName | None:
        snapshot = self.snapshots.get(ServiceName(target.service))
        return snapshot.head.guards.get(name) if snapshot else None


def make_cluster_view(settings: Settings) -> ClusterView:
    """Return the initial, empty view of a daemon."""
    incarnation = new_incarnation()
    place = settings.daemon
    identity = Identity(
        DaemonName(place.name),
        DataCentre(place.data_centre),
        Region(place.region),
        settings.listen.peers,
        incarnation,
    )
    intervals = MembershipSettings()
    table = MemberTable(identity, intervals, random_fraction)
    return ClusterView(settings, incarnation, table)
