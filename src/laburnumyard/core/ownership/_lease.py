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

DISTANT_PAST = Seconds(float('-inf'))
DISTANT_FUTURE = Seconds(float('inf'))
NO_SEQUENCE = Sequence(0)


@dataclass(frozen=True, slots=True)
class Release:
    """Ranges that a target is to stop serving, so that they can move.

    Parameters
    ----------
    parts
        The new owner of each part; ``None`` leaves the choice to the swap.
    started_at
        When the release began, in seconds.
    must_finish
        Whether the release goes on however long work in flight takes.
    """

    parts: Mapping[HashRange, TargetName | None]
    started_at: Seconds
    must_finish: bool = False


NO_PARTS: Mapping[HashRange, TargetName | None] = MappingProxyType({})


@dataclass(slots=True)
class GrantState:
    """The grant of one target, as sent and as answered.

    Parameters
    ----------
    granted_ranges
        The set of the last grant sent; ``None`` before the first.
    sequence
        The sequence of that grant.
    acknowledged_sequence
        The highest sequence that the holder has answered.
    reported_ranges
        The live ranges of its last answer.
    requests_in_flight
        Requests in flight on released ranges, by its last answer.
    """

    granted_ranges: tuple[HashRange, ...] | None = None
    sequence: Sequence = NO_SEQUENCE
    acknowledged_sequence: Sequence = NO_SEQUENCE
    reported_ranges: tuple[HashRange, ...] = ()
    requests_in_flight: int = 0

    @property
    def is_acknowledged(self) -> bool:
        """Whether the holder has taken the last grant sent."""
        return (
            self.granted_ranges is not None
            and self.acknowledged_sequence >= self.sequence
        )


@dataclass(frozen=True, slots=True)
class GrantBasis:
    """What the ranges of a grant were worked out from.

    Parameters
    ----------
    version
        The version of the assignment.
    release
        The release under way.
    is_confirmed_since_answer
        Whether the store has named the manager since it met the holder.
    reported_ranges
        What the holder reported, where that matters.
    """

    version: Version
    release: Release | None
    is_confirmed_since_answer: bool
    reported_ranges: tuple[HashRange, ...]


@dataclass(frozen=True, slots=True)
class PreparedLoss:
    """Targets whose loss has been prepared for, and at which version."""

    version: Version
    targets: frozenset[TargetName]


@dataclass(frozen=True, slots=True)
class NextGuardAnswer:
    """A daemon's answer to a seal for a target that it does not guard yet.

    Parameters
    ----------
    answer
        The answer; it names the daemon.
    received_at
        When it arrived.
    """

    answer: TargetAnswer
    received_at: Seconds


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
    grant_state
        Its grant.
    basis
        What the ranges of that grant were worked out from.
    sealed
        Whether it has answered a seal of the manager's term.
    first_answer_at
        When the first answer of its present process arrived.
    answering_since
        Since when it has answered without a gap of a lifetime.
    clock_ms
        The reading of its clock in the last answer.
    inherited_ranges
        Ranges that a predecessor may still be renewing.
    former_guard_work_until
        When work that a former guard has sent is over.
    release
        The ranges that it is being asked to stop serving.
    drain_since
        When its emptying began.
    skipped_ranges
        Ranges that it kept because their work in flight took too long.
    next_message_at
        When the next message is due.
    last_answered_call
        The number of the newest message answered; answers to older ones are
        late and count for nothing.
    next_guard_answer
        What the daemon answered that is to be its next guard.
    next_handover_at
        When a guard that is leaving may next be asked to hand over.
    """

    name: TargetName
    kind: TargetKind
    guard: DaemonName | None
    expires_by: Seconds
    grant_state: GrantState = field(default_factory=GrantState)
    basis: GrantBasis | None = None
    sealed: bool = False
    first_answer_at: Seconds | None = None
    answering_since: Seconds = DISTANT_FUTURE
    clock_ms: int = 0
    inherited_ranges: tuple[HashRange, ...] = ()
    former_guard_work_until: Seconds = DISTANT_PAST
    release: Release | None = None
    drain_since: Seconds | None = None
    skipped_ranges: set[HashRange] = field(default_factory=set)
    next_message_at: Seconds = DISTANT_PAST
    last_answered_call: int = 0
    next_guard_answer: NextGuardAnswer | None = None
    next_handover_at: Seconds = DISTANT_PAST

    @property
    def released(self) -> Mapping[HashRange, TargetName | None]:
        """The parts that it is to stop serving."""
        return self.release.parts if self.release else NO_PARTS

    def is_lost(self, now: Seconds) -> bool:
        """Tell whether whatever it held has expired without an answer."""
        return now >= self.expires_by

    def reset_holder(self) -> None:
        """Start anew with a holder that knows nothing of this manager."""
        self.grant_state = GrantState(sequence=self.grant_state.sequence)
        self.basis = None
        self.sealed = False
        self.first_answer_at = None
        self.answering_since = DISTANT_FUTURE
