"""A gateway's view of routes, targets, members and coordinators."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from laburnumyard.core.evacuation import Evacuations
from laburnumyard.core.ids import (
    DaemonName,
    DataCentre,
    Incarnation,
    Seconds,
    ServiceName,
    TargetId,
)
from laburnumyard.core.rate_limits import KnownLimits
from laburnumyard.core.routes import RouteTable
from laburnumyard.core.target_directory import (
    Directory,
    TargetLife,
    TargetRecord,
)
from laburnumyard.gateway._platform_interface import Item
from laburnumyard.gateway._store_revision import era_of

# Gateways to remember; the oldest is forgotten first.
MAX_MEMBERS = 1000
# Targets that left to remember; the oldest is forgotten first.
MAX_DEPARTED = 1000


@dataclass(frozen=True, slots=True)
class Member:
    """A gateway that takes part in the cluster.

    Parameters
    ----------
    name
        Name of the gateway.
    address
        ``IP:PORT`` for links from peers.
    incarnation
        Number of its process start; higher is newer.
    cores
        Number of processor cores it may use.
    """

    name: DaemonName
    address: str
    incarnation: Incarnation
    cores: float = 1.0


@dataclass(frozen=True, slots=True)
class Coordinator:
    """The gateway that coordinates a service.

    Parameters
    ----------
    member
        The gateway.
    epoch
        Store revision at which it acquired the role; higher is newer.
    """

    member: Member
    epoch: int


@dataclass(frozen=True, slots=True)
class UnconfirmedCoordinator:
    """A coordinator whose record was lost with the writes of the store.

    Parameters
    ----------
    coordinator
        The coordinator, which may still be running.
    lost_at
        When the loss was noticed, in seconds.
    """

    coordinator: Coordinator
    lost_at: Seconds


@dataclass(slots=True)
class ClusterView:
    """Newest known routes, targets, members and coordinators.

    Attributes
    ----------
    routes
        Current route table, None before the first one.
    entries
        Valid entries of targets, of any service.
    directory
        Targets by identifier: the entries of services in the route table. An
        entry of another service has no effect.
    evacuations
        Evacuated data centres; the directory shows their targets as evacuated.
    departed
        Targets that were in the directory and left it.
    coordinators
        Coordinators by service.
    unconfirmed
        Last coordinator of each service whose record the store has lost.
    has_coordinators
        Whether all coordinators are known; a service without one is then
        vacant.
    members
        Gateways that have sent messages to this one, by name.
    max_milli_cores
        The most processor cores of any known gateway, in thousandths.
    limits
        Rate limits that targets stated in responses to this gateway.
    assignments
        Last read assignment item by sharded service.
    on_directory, on_routes, on_coordinators
        Called after a change.
    """

    routes: RouteTable | None = None
    entries: Directory = field(default_factory=dict)
    directory: dict[TargetId, TargetRecord] = field(default_factory=dict)
    evacuations: Evacuations = field(default_factory=Evacuations)
    departed: dict[TargetLife, None] = field(default_factory=dict)
    coordinators: dict[ServiceName, Coordinator] = field(default_factory=dict)
    unconfirmed: dict[ServiceName, UnconfirmedCoordinator] = field(
        default_factory=dict
    )
    has_coordinators: bool = False
    members: dict[DaemonName, Member] = field(default_factory=dict)
    max_milli_cores: int = 0
    limits: KnownLimits = field(default_factory=KnownLimits)
    assignments: dict[ServiceName, Item] = field(default_factory=dict)
    on_directory: list[Callable[[], None]] = field(default_factory=list)
    on_routes: list[Callable[[], None]] = field(default_factory=list)
    on_coordinators: list[Callable[[], None]] = field(default_factory=list)
    changed: anyio.Event = field(default_factory=anyio.Event)

    def adopt_routes(self, table: RouteTable) -> bool:
        """Adopt a newer route table.

        Returns
        -------
        bool
            Whether the table was newer than the current one.
        """
        if self.routes and table.version <= self.routes.version:
            return False
        self.routes = table
        self.notify(self.on_routes)
        if self.directory != self.entries_in_force():
            self.adopt_directory(self.entries)
        return True

    def has_newer_routes(self, table: RouteTable) -> bool:
        """Whether a newer route table is in force than the given one."""
        return self.routes is not None and table.version < self.routes.version

    def note_member(self, member: Member) -> None:
        """Record a gateway that has sent a message; a later start replaces it.

        Parameters
        ----------
        member
            The gateway; its cores are not known.
        """
        known = self.members.get(member.name)
        if known and known.incarnation >= member.incarnation:
            return
        self.members.pop(member.name, None)
        self.members[member.name] = member
        if len(self.members) > MAX_MEMBERS:
            self.members.pop(next(iter(self.members)))

    def note_cores(self, milli_cores: int) -> None:
        """Record the processor cores of a gateway, in thousandths."""
        self.max_milli_cores = max(self.max_milli_cores, milli_cores)

    def adopt_directory(self, directory: Directory) -> None:
        """Replace the known targets.

        Parameters
        ----------
        directory
            Valid entries of targets, of any service.
        """
        self.entries = dict(directory)
        in_force = self.entries_in_force()
        before = {record.life for record in self.directory.values()}
        current = {record.life for record in in_force.values()}
        self.departed.update(dict.fromkeys(before - current))
        for life in current & self.departed.keys():
            self.departed.pop(life)
        while len(self.departed) > MAX_DEPARTED:
            self.departed.pop(next(iter(self.departed)))
        self.directory = in_force
        self.notify(self.on_directory)

    def entries_in_force(self) -> dict[TargetId, TargetRecord]:
        """Return the entries whose service the route table names.

        Without a route table all entries, as none can be told to be foreign.
        """
        named = None
        if self.routes is not None:
            named = self.routes.service_names()
        return {
            target: self.evacuations.record_in_force(record)
            for target, record in self.entries.items()
            if named is None or record.service in named
        }

    def begin_evacuation(self, data_centre: DataCentre) -> bool:
        """Take the targets of a data centre out of use; False if they are."""
        is_new = self.evacuations.begin(data_centre)
        if is_new:
            self.adopt_directory(self.entries)
        return is_new

    def end_evacuation(
        self, data_centre: DataCentre, revision: int, now: Seconds
    ) -> bool:
        """Return the targets of a data centre to use, as cold ones.

        Parameters
        ----------
        data_centre
            The data centre.
        revision
            Store revision at which its evacuation ended.
        now
            The current time, in seconds.

        Returns
        -------
        bool
            Whether the data centre was evacuated.
        """
        services = self.routes.services if self.routes else {}
        was_known = self.evacuations.end(
            data_centre, revision, self.entries.values(), services, now
        )
        self.adopt_directory(self.entries)
        return was_known

    def count_targets(self, data_centre: DataCentre) -> int:
        """Return the number of targets of a data centre."""
        return sum(
            record.data_centre == data_centre
            for record in self.directory.values()
        )

    def warm_up_per_s(self, service: ServiceName) -> float:
        """Return the configured rate of a service's cold targets, or 0."""
        spec = self.routes.services.get(service) if self.routes else None
        return spec.warm_up_per_s if spec else 0

    def record_of(self, life: TargetLife) -> TargetRecord | None:
        """Return the record of a target instance, None without one."""
        record = self.directory.get(life.target)
        return record if record and record.life == life else None

    def is_leaving(self, life: TargetLife) -> bool:
        """Whether a target is known to accept no requests, or to have left.

        A target of which nothing is known is not: others learn of it first.
        """
        record = self.record_of(life)
        if record is not None:
            return not record.accepts_requests
        return life in self.departed

    def adopt_coordinator(
        self, service: ServiceName, coordinator: Coordinator
    ) -> bool:
        """Adopt a newer coordinator of a service."""
        known = self.coordinators.get(service)
        if known and known.epoch >= coordinator.epoch:
            return False
        self.coordinators[service] = coordinator
        self.notify(self.on_coordinators)
        return True

    def drop_coordinator(
        self, service: ServiceName, epoch: int, now: Seconds
    ) -> None:
        """Remove the coordinator of an epoch, or of an earlier one."""
        known = self.coordinators.get(service)
        if known and known.epoch <= epoch:
            self.coordinators.pop(service)
            if era_of(known.epoch) < era_of(epoch):
                self.unconfirmed[service] = UnconfirmedCoordinator(known, now)
            self.notify(self.on_coordinators)

    def notify(self, listeners: list[Callable[[], None]]) -> None:
        """Call listeners and set the ``changed`` event."""
        for listener in listeners:
            listener()
        self.changed.set()
        self.changed = anyio.Event()


def is_same_process(one: Member, other: Member) -> bool:
    """Whether two records are of one process of a gateway."""
    return (one.name, one.incarnation) == (other.name, other.incarnation)
