"""What happens to the member table."""

from dataclasses import dataclass

from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.core.membership._inputs import (
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
