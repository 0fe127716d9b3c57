"""Events of the member table that come from peers and links."""

from dataclasses import dataclass

from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.core.membership._local_events import (
    HelloReceived,
    Leave,
    ManagedScopesChanged,
    Tick,
    VmListRead,
    VmListUnavailable,
)
from laburnumyard.schema._generated import messages


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat arrived from another daemon."""

    heartbeat: messages.Heartbeat


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A member answered a probe or any other request.

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
    """A probe timed out, or its link was refused or silent."""

    daemon: DaemonName


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link to a member broke; the member is probed immediately."""

    daemon: DaemonName


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Gossiped member records arrived; new information is forwarded."""

    members: tuple[messages.Member, ...]


@dataclass(frozen=True, slots=True)
class MembersReceived:
    """Member records arrived in reply to digests; they are not forwarded."""

    members: tuple[messages.Member, ...]


@dataclass(frozen=True, slots=True)
class DigestsReceived:
    """The digests of another member table arrived."""

    sender: DaemonName
    digests: messages.MemberDigests


Event = (
    VmListRead
    | VmListUnavailable
    | HeartbeatReceived
    | ProbeAnswered
    | ProbeFailed
    | LinkLost
    | HelloReceived
    | GossipReceived
    | MembersReceived
    | DigestsReceived
    | ManagedScopesChanged
    | Leave
    | Tick
)
