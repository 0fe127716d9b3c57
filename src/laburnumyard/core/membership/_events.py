"""What happens to the member table."""

from dataclasses import dataclass

from laburnumyard.core.ids import (
    DaemonName,
    DataCentre,
    Incarnation,
    ServiceName,
)
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
class VmListRead:
    """The platform's list was read. It lags both ways."""

    vms: tuple[ListedVm, ...]


@dataclass(frozen=True, slots=True)
class VmListUnavailable:
    """The platform's list could not be read; nothing follows from that."""


@dataclass(frozen=True, slots=True)
class HeartbeatHeard:
    """A heartbeat came from another daemon."""

    heartbeat: messages.Heartbeat


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A member answered a probe, or anything else that it was asked.

    Parameters
    ----------
    daemon
        The member.
    incarnation
        The incarnation in the hello of its link.
    """

    daemon: DaemonName
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A probe got no answer in time, or its link was refused or silent."""

    daemon: DaemonName


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link to a member broke; the member is probed at once."""

    daemon: DaemonName


@dataclass(frozen=True, slots=True)
class GossipHeard:
    """News of members came; what is new is passed on."""

    members: tuple[messages.Member, ...]


@dataclass(frozen=True, slots=True)
class MembersHeard:
    """Members came as the answer to digests; they are not passed on."""

    members: tuple[messages.Member, ...]


@dataclass(frozen=True, slots=True)
class DigestsHeard:
    """The digests of another member table came."""

    sender: DaemonName
    digests: messages.MemberDigests


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
    """This daemon shuts down; everyone is told, and no role stays here."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed. Due about every 0.1 s."""


Event = (
    VmListRead
    | VmListUnavailable
    | HeartbeatHeard
    | ProbeAnswered
    | ProbeFailed
    | LinkLost
    | GossipHeard
    | MembersHeard
    | DigestsHeard
    | ScopesHeld
    | Leave
    | Tick
)
