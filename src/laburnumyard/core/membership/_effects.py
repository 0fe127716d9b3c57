"""Effects that the member table requests from its caller."""

from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.core.membership._member import MemberState
from laburnumyard.schema._generated import messages


class Decision(Enum):
    """A logged membership decision."""

    STATE_CHANGED = 'member-state-changed'
    PAUSE_DETECTED = 'woke-after-pause'
    SUPERSEDED = 'superseded-by-newer-incarnation'
    REFUTED = 'suspicion-refuted'
    LEAVE_ANNOUNCED = 'leave-announced'


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat; delivery is not guaranteed."""

    daemon: DaemonName
    heartbeat: messages.Heartbeat


@dataclass(frozen=True, slots=True)
class Send:
    """Send another membership message; delivery is not guaranteed."""

    daemon: DaemonName
    message: messages.Gossip | messages.MemberDigests | messages.Members


@dataclass(frozen=True, slots=True)
class Probe:
    """Ping a member; the result is `ProbeAnswered` or `ProbeFailed`."""

    daemon: DaemonName


@dataclass(frozen=True, slots=True)
class ReadVmList:
    """Read the VM list; the result is `VmListRead` or `VmListUnavailable`."""


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Log a decision.

    Parameters
    ----------
    decision
        The decision.
    daemon
        The member concerned.
    incarnation
        The incarnation of the member.
    state
        The state of the member after the decision.
    """

    decision: Decision
    daemon: DaemonName
    incarnation: Incarnation
    state: MemberState


Effect = SendHeartbeat | Send | Probe | ReadVmList | LogDecision
