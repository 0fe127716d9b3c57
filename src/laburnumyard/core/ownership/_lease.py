"""What a lease manager knows about one target of its scope."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from laburnumyard.core.ids import (
    DaemonName,
    Seconds,
    Sequence,
    TargetName,
    Version,
)
from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._events import TargetAnswer
from laburnumyard.core.ownership._service_plan import TargetKind

NEVER = Seconds(float('-inf'))
LATER = Seconds(float('inf'))
NO_SEQUENCE = Sequence(0)


@dataclass(frozen=True, slots=True)
class Release:
    """Ranges that a target is to stop serving, so that they can move.

    Parameters
    ----------
    parts
        The new owner of each part; ``None`` leaves the choice to the swap.
    since
        When the release began, in seconds.
    final
        Whether the release goes on however long work in flight takes.
    """

    parts: Mapping[HashRange, TargetName | None]
    since: Seconds
    final: bool = False


NOTHING: Mapping[HashRange, TargetName | None] = MappingProxyType({})


@dataclass(slots=True)
class Holding:
    """The grant of one target, as sent and as answered.

    Parameters
    ----------
    ranges
        The set of the last grant sent; ``None`` before the first.
    sequence
        The sequence of that grant.
    acknowledged
        The highest sequence that the holder has answered.
    reported
        The live ranges of its last answer.
    busy
        Requests in flight on released ranges, by its last answer.
    """

    ranges: tuple[HashRange, ...] | None = None
    sequence: Sequence = NO_SEQUENCE
    acknowledged: Sequence = NO_SEQUENCE
    reported: tuple[HashRange, ...] = ()
    busy: int = 0

    @property
    def is_acknowledged(self) -> bool:
        """Whether the holder has taken the last grant sent."""
        return self.ranges is not None and self.acknowledged >= self.sequence


@dataclass(frozen=True, slots=True)
class GrantBasis:
    """What the ranges of a grant were worked out from.

    Parameters
    ----------
    version
        The version of the assignment.
    release
        The release under way.
    is_met
        Whether the store has named the manager since it met the holder.
    reported
        What the holder reported, where that matters.
    """

    version: Version
    release: Release | None
    is_met: bool
    reported: tuple[HashRange, ...]


@dataclass(frozen=True, slots=True)
class ForeseenLoss:
    """Targets whose loss has been prepared for, and at which version."""

    version: Version
    targets: frozenset[TargetName]


@dataclass(frozen=True, slots=True)
class GuardMeeting:
    """A daemon's answer to a seal for a target that it does not guard yet.

    Parameters
    ----------
    answer
        The answer; it names the daemon.
    met_at
        When it arrived.
    """

    answer: TargetAnswer
    met_at: Seconds


@dataclass(slots=True)
class TargetLease:
    """What a lease manager knows about one target of its scope.

    Parameters
    ----------
    name
        The target.
    kind
        How it checks grants.
    guard
        The daemon that holds its grants, if it does not check them itself.
    expires_by
        The bound on the end of anything it may hold, on the manager's clock.
    holding
        Its grant.
    basis
        What the ranges of that grant were worked out from.
    sealed
        Whether it has answered a seal of the manager's term.
    met_at
        When the first answer of its present process arrived.
    answering_since
        Since when it has answered without a gap of a lifetime.
    clock_ms
        The reading of its clock in the last answer.
    inherited
        Ranges that a predecessor may still be renewing.
    work_until
        When work that a former guard has sent is over.
    release
        The ranges that it is being asked to stop serving.
    drain_since
        When its emptying began.
    passed_over
        Ranges that it kept because their work in flight took too long.
    send_at
        When the next message is due.
    answered
        The number of the newest message answered; answers to older ones are
        late and count for nothing.
    meeting
        What the daemon answered that is to be its next guard.
    handover_at
        When a guard that is leaving may next be asked to hand over.
    """

    name: TargetName
    kind: TargetKind
    guard: DaemonName | None
    expires_by: Seconds
    holding: Holding = field(default_factory=Holding)
    basis: GrantBasis | None = None
    sealed: bool = False
    met_at: Seconds | None = None
    answering_since: Seconds = LATER
    clock_ms: int = 0
    inherited: tuple[HashRange, ...] = ()
    work_until: Seconds = NEVER
    release: Release | None = None
    drain_since: Seconds | None = None
    passed_over: set[HashRange] = field(default_factory=set)
    send_at: Seconds = NEVER
    answered: int = 0
    meeting: GuardMeeting | None = None
    handover_at: Seconds = NEVER

    @property
    def released(self) -> Mapping[HashRange, TargetName | None]:
        """The parts that it is to stop serving."""
        return self.release.parts if self.release else NOTHING

    def is_lost(self, now: Seconds) -> bool:
        """Tell whether whatever it held has expired without an answer."""
        return now >= self.expires_by

    def forget(self) -> None:
        """Start anew with a holder that knows nothing of this manager."""
        self.holding = Holding(sequence=self.holding.sequence)
        self.basis = None
        self.sealed = False
        self.met_at = None
        self.answering_since = LATER
