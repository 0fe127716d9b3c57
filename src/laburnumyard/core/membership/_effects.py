"""What the member table asks of the shell."""

from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.core.membership._member import MemberState
from laburnumyard.schema._generated import messages


class Decision(Enum):
    """Why a line is logged."""

    STATE_CHANGED = 'member-state-changed'
    WOKE = 'woke-after-pause'
    SUPERSEDED = 'superseded-by-newer-incarnation'
    REFUTED = 'suspicion-refuted'
    LEFT = 'leave-announced'


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat; it may be lost."""

    daemon: DaemonName
    heartbeat: messages.Heartbeat


@dataclass(frozen=True, slots=True)
class Send:
    """Send another message of membership; it may be lost."""

    daemon: DaemonName
    message: messages.Gossip | messages.MemberDigests | messages.Members


@dataclass(frozen=True, slots=True)
class Probe:
    """Ping a member; feed `ProbeAnswered` or `ProbeFailed` back."""

    daemon: DaemonName


@dataclass(frozen=True, slots=True)
class ReadVmList:
    """Read the platform's list; feed `VmListRead` or the failure back."""


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Log one line.

    Parameters
    ----------
    decision
        What was decided.
    daemon
        The member that it is about.
    incarnation
        The incarnation of the member.
    state
        The state of the member now.
    """

    decision: Decision
    daemon: DaemonName
    incarnation: Incarnation
    state: MemberState


Effect = SendHeartbeat | Send | Probe | ReadVmList | LogDecision
