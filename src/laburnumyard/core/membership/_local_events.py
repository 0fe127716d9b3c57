"""Events of the member table that come from the daemon or the platform."""

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
        The daemon on the VM; the list has no incarnations.
    is_leaving
        Whether the platform is about to remove the VM.
    """

    identity: Identity
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class HelloReceived:
    """A daemon opened a link and sent its identity; it is not gossiped.

    A daemon that starts while the VM list is unavailable knows no peers: it
    discovers them from the links that they open to it.
    """

    member: messages.Member


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's list was read.

    The list lags: it may still name removed VMs and lack new ones.

    Parameters
    ----------
    vms
        The VMs that run daemons.
    rows
        Number of VMs in the list, including those of targets.
    """

    vms: tuple[ListedVm, ...]
    rows: int = 0


@dataclass(frozen=True, slots=True)
class VmListUnavailable:
    """The platform's list could not be read; no member changes its state."""


@dataclass(frozen=True, slots=True)
class Scope:
    """The unit of lease management: one service in one data centre.

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
class ManagedScopesChanged:
    """The scopes that this daemon manages changed; deputies monitor it."""

    scopes: tuple[Scope, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """The daemon shuts down: it announces this and gives up all roles."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; expected about every 0.1 s."""
