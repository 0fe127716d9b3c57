"""What the daemon itself tells its member table."""

from dataclasses import dataclass

from laburnumyard.core.ids import DataCentre, ServiceName
from laburnumyard.core.membership._member import Identity
from laburnumyard.schema._generated import messages


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One VM of the platform's list.

    Parameters
    ----------
    identity
        Who runs on it; the list knows no incarnation.
    is_leaving
        Whether the platform is about to take it away.
    """

    identity: Identity
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class HelloHeard:
    """A daemon opened a link and said who it is; it is not passed on.

    A daemon that starts while the VM list is down knows nobody: it learns of
    the others from the links that they open to it.
    """

    member: messages.Member


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's list was read. It lags both ways.

    Parameters
    ----------
    vms
        The VMs of daemons.
    rows
        How many VMs the list names, those of targets too.
    """

    vms: tuple[ListedVm, ...]
    rows: int = 0


@dataclass(frozen=True, slots=True)
class VmListUnavailable:
    """The platform's list could not be read; nothing follows from that."""


@dataclass(frozen=True, slots=True)
class Scope:
    """What one lease manager manages.

    Parameters
    ----------
    service
        The service.
    data_centre
        The data centre of the targets.
    """

    service: ServiceName
    data_centre: DataCentre


@dataclass(frozen=True, slots=True)
class ScopesHeld:
    """The scopes that this daemon manages now; its deputies watch it."""

    scopes: tuple[Scope, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """The daemon shuts down; everyone is told, and no role stays here."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed. Due about every 0.1 s."""
