"""The state of a lease manager."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from laburnumyard.core.ids import (
    ChangeId,
    Seconds,
    TargetName,
    Term,
    Version,
)
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._chunks import Chunk
from laburnumyard.core.ownership._head import Head, Scope, Snapshot
from laburnumyard.core.ownership._hints import GuardCandidates
from laburnumyard.core.ownership._manager_settings import ManagerSettings
from laburnumyard.core.ownership._service_plan import ServicePlan
from laburnumyard.core.ownership._target_lease import (
    DISTANT_FUTURE,
    DISTANT_PAST,
    PreparedLoss,
    TargetLease,
)
from laburnumyard.schema._generated.messages import Assignment

NO_TERM = Term(0)
INITIAL_RETRY_INTERVAL_S = 0.2
# Least time between urgent reads, so that many targets share one read.
URGENT_READ_INTERVAL_S = 0.02


class Phase(Enum):
    """The phases of a lease manager."""

    # Inactive: another daemon manages the scope, or none does.
    IDLE = 'idle'
    # Swaps its own term into the head.
    TAKING = 'taking'
    # Grants, renews and moves ranges.
    HOLDING = 'holding'
    # A higher term exists. Renews targets that have not seen that term yet,
    # without granting or moving anything.
    RETIRING = 'retiring'


ACTIVE_PHASES = (Phase.HOLDING, Phase.RETIRING)


@dataclass(frozen=True, slots=True)
class Change:
    """A requested swap of the head whose outcome is not known yet.

    Parameters
    ----------
    change
        The unique id of the change.
    revision
        The revision of the head that the swap replaces.
    head, assignment, chunks
        The new content.
    sent_at
        When the swap was requested.
    frozen
        Targets that get no grant or renewal until the outcome is known.
    unknown
        Whether the answer to the swap was lost.
    repeated
        Whether the swap has been requested more than once.
    """

    change: ChangeId
    revision: int | None
    head: Head
    assignment: Assignment
    chunks: tuple[Chunk, ...]
    sent_at: Seconds
    frozen: frozenset[TargetName] = frozenset()
    unknown: bool = False
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class PendingMove:
    """A move that was requested and has not started yet.

    Parameters
    ----------
    to
        The new owner.
    expires_at
        When the request becomes too old to be carried out, in seconds.
    """

    to: TargetName
    expires_at: Seconds


@dataclass(frozen=True, slots=True)
class ConformanceBasis:
    """The assignment version and plan that were last found to agree."""

    version: Version
    plan: ServicePlan


@dataclass(slots=True)
class Authority:
    """The authority of a manager to act: its phase and term.

    Parameters
    ----------
    phase
        The phase of the manager.
    term
        The term of the manager.
    confirmed_at
        The last time at which the store is known to have named this manager.
    taken_at
        When it learnt that its takeover had succeeded.
    highest_term
        The highest term that any target has shown.
    replaced_term
        The term that its takeover replaces; another one in the head means
        that another daemon took over first.
    never_granted
        Targets to which no earlier manager can have granted anything.
    is_suspended
        Whether it was not allowed to send at the last check.
    offer_at
        When its leaving daemon next offers the scope to another daemon.
    """

    phase: Phase = Phase.IDLE
    term: Term = NO_TERM
    confirmed_at: Seconds = DISTANT_PAST
    taken_at: Seconds = DISTANT_PAST
    highest_term: Term = NO_TERM
    replaced_term: Term | None = None
    never_granted: frozenset[TargetName] = frozenset()
    is_suspended: bool = False
    offer_at: Seconds = DISTANT_FUTURE


@dataclass(slots=True)
class ReadState:
    """The state of the manager's reads of the head.

    Parameters
    ----------
    is_read_pending
        Whether a read is in progress.
    next_regular_read_at
        When the next regular read is due.
    next_urgent_read_at
        When an urgent read may be made.
    retry_interval
        The delay of the next read after the next failure, in seconds.
    is_stale
        Whether the store may have a newer head than the known one.
    is_absent
        Whether the store has answered that there is no head.
    resumed_at
        When the manager noticed that it had been paused. It sends nothing
        until a read requested after that has been answered or has failed.
    """

    is_read_pending: bool = False
    next_regular_read_at: Seconds = DISTANT_PAST
    next_urgent_read_at: Seconds = DISTANT_PAST
    retry_interval: float = INITIAL_RETRY_INTERVAL_S
    is_stale: bool = False
    is_absent: bool = False
    resumed_at: Seconds | None = None


@dataclass(slots=True)
class ManagerState:
    """The complete state of a lease manager.

    Parameters
    ----------
    settings
        The identity and timing of the manager.
    plan
        The configuration of the service.
    snapshot
        The newest assignment that the store has acknowledged.
    owners
        The ranges of that assignment by target.
    change
        The pending swap, if any.
    change_count, call_count
        How many changes and messages it has made; these counts number them.
    leases
        The lease of each target of the scope, while it holds the term.
    draining
        Targets that operators have ordered to be drained.
    undrained
        Targets whose drain order has been withdrawn.
    leaving
        Targets that are leaving, by their own report or the platform's list.
    down
        Guarded targets that their guard cannot reach.
    guards
        The daemons that may guard each target, and which of them leave.
    pending_moves
        Requested moves that have not started yet.
    conformed_basis
        The assignment version and plan that were last found to agree.
    may_be_misplaced
        Whether a target may own ranges that the configuration forbids.
    has_no_due_work
        Whether the last event needs no further work before the next tick.
    pending_merges
        Spans whose ranges the planner wants to merge.
    prepared_loss
        The loss for which chunks were last written in advance.
    """

    settings: ManagerSettings
    plan: ServicePlan
    authority: Authority = field(default_factory=Authority)
    read_state: ReadState = field(default_factory=ReadState)
    snapshot: Snapshot | None = None
    owners: Mapping[TargetName, tuple[HashRange, ...]] = field(
        default_factory=dict,
    )
    change: Change | None = None
    change_count: int = 0
    call_count: int = 0
    leases: dict[TargetName, TargetLease] = field(default_factory=dict)
    draining: set[TargetName] = field(default_factory=set)
    undrained: set[TargetName] = field(default_factory=set)
    leaving: set[TargetName] = field(default_factory=set)
    down: set[TargetName] = field(default_factory=set)
    guards: dict[TargetName, GuardCandidates] = field(default_factory=dict)
    pending_moves: dict[HashRange, PendingMove] = field(default_factory=dict)
    conformed_basis: ConformanceBasis | None = None
    may_be_misplaced: bool = True
    has_no_due_work: bool = False
    pending_merges: list[HashRange] = field(default_factory=list)
    prepared_loss: PreparedLoss | None = None

    @property
    def version(self) -> Version:
        """The version of the newest assignment, 0 before the first."""
        return self.snapshot.head.version if self.snapshot else Version(0)

    @property
    def scope(self) -> Scope | None:
        """The scope's entry in the newest head."""
        if self.snapshot is None:
            return None
        return self.snapshot.head.scopes.get(self.settings.data_centre)

    def owned_by(self, target: TargetName) -> tuple[HashRange, ...]:
        """Return the ranges of a target in the newest assignment."""
        return self.owners.get(target, ())

    def message_deadline(self, now: Seconds) -> Seconds:
        """Return until when a message that is built now may be sent."""
        return Seconds(now + self.settings.timing.renew_interval_s)

    def may_send(self, now: Seconds) -> bool:
        """Tell whether the manager is allowed to send messages."""
        authority = self.authority
        hold = self.settings.timing.outage_hold_s
        return (
            authority.phase in ACTIVE_PHASES
            and self.read_state.resumed_at is None
            and now < authority.confirmed_at + hold
        )
