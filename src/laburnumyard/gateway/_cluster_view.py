"""What a gateway believes about the system, and from when."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from laburnumyard.core.directory import Directory, TargetRecord
from laburnumyard.core.ids import (
    DaemonName,
    Incarnation,
    ServiceName,
    TargetId,
)
from laburnumyard.core.routes import RouteTable
from laburnumyard.gateway._platform_interface import Item


@dataclass(frozen=True, slots=True)
class Member:
    """Another gateway.

    Parameters
    ----------
    name
        Its name.
    address
        Where it accepts links.
    incarnation
        Its start; a higher one is newer.
    cores
        The processor's share that it has.
    """

    name: DaemonName
    address: str
    incarnation: Incarnation
    cores: float = 1.0


@dataclass(frozen=True, slots=True)
class Coordinator:
    """The gateway that schedules a service.

    Parameters
    ----------
    member
        Who it is.
    epoch
        The revision at which it took the role; a higher one is newer.
    """

    member: Member
    epoch: int


@dataclass(slots=True)
class ClusterView:
    """The newest configuration, targets, members and coordinators.

    Attributes
    ----------
    routes
        The route table in force, None before the first one.
    directory
        Every target by its identifier.
    coordinators
        The coordinator of each service that has one.
    members
        Every gateway by its name.
    assignments
        The stored assignment of each keyed service, as read last.
    on_directory, on_routes, on_coordinators
        Called after a change.
    """

    routes: RouteTable | None = None
    directory: dict[TargetId, TargetRecord] = field(default_factory=dict)
    coordinators: dict[ServiceName, Coordinator] = field(default_factory=dict)
    members: dict[DaemonName, Member] = field(default_factory=dict)
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
            Whether it is newer than the one in force.
        """
        if self.routes and table.version <= self.routes.version:
            return False
        self.routes = table
        self.notify(self.on_routes)
        return True

    def adopt_directory(self, directory: Directory) -> None:
        """Adopt the targets as they are now."""
        self.directory = dict(directory)
        self.notify(self.on_directory)

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

    def drop_coordinator(self, service: ServiceName, epoch: int) -> None:
        """Note that a coordinator, or an earlier one, is gone."""
        known = self.coordinators.get(service)
        if known and known.epoch <= epoch:
            self.coordinators.pop(service)
            self.notify(self.on_coordinators)

    def notify(self, listeners: list[Callable[[], None]]) -> None:
        """Call listeners and wake whoever waits for a change."""
        for listener in listeners:
            listener()
        self.changed.set()
        self.changed = anyio.Event()
