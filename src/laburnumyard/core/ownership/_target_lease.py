"""The lease of one target: its grant, release and guard."""

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
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._events import TargetAnswer
from laburnumyard.core.ownership._service_plan import TargetKind

DISTANT_PAST = Seconds(float('-inf'))
DISTANT_FUTURE = Seconds(float('inf'))
NO_SEQUENCE = Sequence(0)


@dataclass(frozen=True, slots=True)
class Release:
    """Ranges that a target is asked to stop serving, so that they can move.

    Parameters
    ----------
    parts
        The new owner of each part; ``None`` if it is chosen at the swap.
    started_at
        When the release started, in seconds.
    must_finish
        Whether the release continues however long requests in flight take.
    """

    parts: Mapping[HashRange, TargetName | None]
    started_at: Seconds
    must_finish: bool = False


NO_PARTS: Mapping[HashRange, TargetName | None] = MappingProxyType({})


@dataclass(slots=True)
class GrantState:
    """The grant of one target, as sent and as acknowledged.

    Parameters
    ----------
    granted_ranges
        The ranges of the last grant sent; ``None`` before the first.
    sequence
        The sequence number of that grant.
    acknowledged_sequence
        The sequence number in the holder's last answer.
    reported_ranges
        The unexpired ranges in its last answer.
    requests_in_flight
        Requests in flight on released ranges, according to its last answer.
    """

    granted_ranges: tuple[HashRange, ...] | None = None
    sequence: Sequence = NO_SEQUENCE
    acknowledged_sequence: Sequence = NO_SEQUENCE
    reported_ranges: tuple[HashRange, ...] = ()
    requests_in_flight: int = 0

    @property
    def is_acknowledged(self) -> bool:
        """Whether the holder has acknowledged the last grant sent."""
        return (
            self.granted_ranges is not None
            and self.acknowledged_sequence >= self.sequence
        )


@dataclass(frozen=True, slots=True)
class GrantBasis:
    """The inputs from which the ranges of a grant were computed.

    Parameters
    ----------
    version
        The version of the assignment.
    release
        The release in progress.
    is_confirmed_since_answer
        Whether the store has confirmed the manager's term since the first
        answer of the holder.
    reported_ranges
        The ranges that the holder reported; empty if the term is confirmed.
    """

    version: Version
    release: Release | None
    is_confirmed_since_answer: bool
    reported_ranges: tuple[HashRange, ...]


@dataclass(frozen=True, slots=True)
class PreparedLoss:
    """Targets whose loss has been prepared, and the assignment version."""

    version: Version
    targets: frozenset[TargetName]


@dataclass(frozen=True, slots=True)
class NextGuardAnswer:
    """A daemon's answer to a seal for a target that it does not guard yet.

    Parameters
    ----------
    answer
        The answer, which names the daemon.
    received_at
        When it arrived.
    """

    answer: TargetAnswer
    received_at: Seconds


@dataclass(slots=True)
class TargetLease:
    """The lease manager's state of one target in its scope.

    Parameters
    ----------
    name
        The name of the target.
    kind
        Whether the target checks fencing tokens or needs a guard.
    guard
        The daemon that holds its grants, if it does not check fencing tokens.
    expires_by
        Upper bound on the expiry of its grants, on the manager's clock.
    grant_state
        The grant as sent and as acknowledged.
    basis
        The inputs from which the ranges of that grant were computed.
    sealed
        Whether the holder has answered a seal with the manager's term.
    first_answer_at
        When the first answer of the holder's current process arrived.
    answering_since
        Since when it has answered without a gap of a grant lifetime.
    clock_ms
        The holder's clock reading in its last answer, in milliseconds.
    inherited_ranges
        Ranges that a previous manager may still be renewing.
    former_guard_work_until
        When requests that a former guard sent have ended.
    release
        The release in progress, if any.
    drain_since
        When the drain of the target started.
    skipped_ranges
        Ranges whose release was cancelled because requests in flight took too
        long.
    next_message_at
        When the next message is due.
    last_answered_call
        The number of the newest message answered; answers to older messages
        are ignored.
    next_guard_answer
        The answer of the daemon that will be the next guard.
    next_handover_at
        When a leaving guard may next be asked to hand over.
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
        """The parts that the target is asked to stop serving."""
        return self.release.parts if self.release else NO_PARTS

    def is_lost(self, now: Seconds) -> bool:
        """Tell whether all its grants have expired without an answer."""
        return now >= self.expires_by

    def reset_holder(self) -> None:
        """Reset the lease for a holder that does not know this manager."""
        self.grant_state = GrantState(sequence=self.grant_state.sequence)
        self.basis = None
        self.sealed = False
        self.first_answer_at = None
        self.answering_since = DISTANT_FUTURE
