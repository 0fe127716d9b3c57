"""Events of the member table that come from peers and links."""

from dataclasses import dataclass

from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.core.membership._local_events import (
    HelloHeard,
    Leave,
    ScopesHeld,
    Tick,
    VmListRead,
    VmListUnavailable,
)
from laburnumyard.schema._generated import messages


@dataclass(frozen=True, slots=True)
class HeartbeatHeard:
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
class GossipHeard:
    """Gossiped member records arrived; new information is forwarded."""

    members: tuple[messages.Member, ...]


@dataclass(frozen=True, slots=True)
class MembersHeard:
    """Member records arrived in reply to digests; they are not forwarded."""

    members: tuple[messages.Member, ...]


@dataclass(frozen=True, slots=True)
class DigestsHeard:
    """The digests of another member table arrived."""

    sender: DaemonName
    digests: messages.MemberDigests


Event = (
    VmListRead
    | VmListUnavailable
    | HeartbeatHeard
    | ProbeAnswered
    | ProbeFailed
    | LinkLost
    | HelloHeard
    | GossipHeard
    | MembersHeard
    | DigestsHeard
    | ScopesHeld
    | Leave
    | Tick
)
