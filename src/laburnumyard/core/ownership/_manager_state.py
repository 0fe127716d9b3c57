"""The state of a lease manager, and questions to it."""

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
from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._chunks import Chunk
from laburnumyard.core.ownership._head import Head, Scope, Snapshot
from laburnumyard.core.ownership._hints import GuardCandidates
from laburnumyard.core.ownership._lease import (
    DISTANT_FUTURE,
    DISTANT_PAST,
    PreparedLoss,
    TargetLease,
)
from laburnumyard.core.ownership._manager_settings import ManagerSettings
from laburnumyard.core.ownership._service_plan import ServicePlan
from laburnumyard.schema._generated.messages import Assignment

NO_TERM = Term(0)
INITIAL_RETRY_INTERVAL_S = 0.2
# Between two urgent reads, so that a crowd of targets shares one.
URGENT_READ_INTERVAL_S = 0.02


class Phase(Enum):
    """Whether a manager may act."""

    # It watches; another daemon manages the scope, or nobody does.
    IDLE = 'idle'
    # It is swapping its own term into the head.
    TAKING = 'taking'
    # It grants and renews.
    HOLDING = 'holding'
    # A higher term exists. It renews where that has not been seen yet, and
    # neither grants nor moves anything.
    RETIRING = 'retiring'


ACTIVE_PHASES = (Phase.HOLDING, Phase.RETIRING)


@dataclass(frozen=True, slots=True)
class Change:
    """A swap of the head that has been asked for and is not settled.

    Parameters
    ----------
    change
        Its unique id.
    revision
        The revision of the head that it replaces.
    head, assignment, chunks
        The new content.
    sent_at
        When the swap was last asked for.
    frozen
        Targets that get no grant or renewal until it is settled.
    unknown
        Whether the answer to the swap was lost.
    repeated
        Whether it has been asked for more than once.
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
    """A move that the planner has asked for.

    Parameters
    ----------
    to
        The new owner.
    expires_at
        When the hint is too old to be followed, in seconds.
    """

    to: TargetName
    expires_at: Seconds


@dataclass(frozen=True, slots=True)
class ConformanceBasis:
    """What the assignment was last compared with the configuration at."""

    version: Version
    plan: ServicePlan


@dataclass(slots=True)
class Authority:
    """What entitles a manager to act.

    Parameters
    ----------
    phase
        Whether it may act.
    term
        Its term.
    confirmed_at
        A time at which the store is known to have named it as the manager.
    taken_at
        When it learnt that it had the term.
    highest_term
        The highest term that any target has shown.
    replaced_term
        The term that its takeover replaces; another one in the head means
        that somebody else was faster.
    never_granted
        Targets to which nobody can have granted anything before.
    is_suspended
        Whether it has been unable to send since its last message.
    offer_at
        When its daemon, if it leaves, offers the scope to another.
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
    """The manager's reads of the head.

    Parameters
    ----------
    is_read_pending
        Whether a read is under way.
    next_regular_read_at
        When the next regular one is due.
    next_urgent_read_at
        When an urgent one may be made.
    retry_interval
        How long the next failure delays the next read, in seconds.
    is_stale
        Whether the store has a newer head than the known one, or may have.
    is_absent
        Whether the store has said that there is no head.
    paused_until
        When the manager found that it had slept; it is silent until a read
        asked after that has been answered, or has failed.
    """

    is_read_pending: bool = False
    next_regular_read_at: Seconds = DISTANT_PAST
    next_urgent_read_at: Seconds = DISTANT_PAST
    retry_interval: float = INITIAL_RETRY_INTERVAL_S
    is_stale: bool = False
    is_absent: bool = False
    paused_until: Seconds | None = None


@dataclass(slots=True)
class ManagerState:
    """Everything that a lease manager knows.

    Parameters
    ----------
    settings
        Who it is.
    plan
        What the configuration says.
    snapshot
        The newest assignment that the store has acknowledged.
    owners
        Its ranges by target.
    change
        The swap that is not settled.
    change_count, call_count
        How many changes and messages it has made; they number the next.
    leases
        The targets of the scope, while it holds the term.
    draining
        Targets that operators have ordered to be emptied.
    undrained
        Targets whose order has been taken back.
    leaving
        Targets that report, or are listed by the platform, to be leaving.
    down
        Guarded targets that their guard cannot reach.
    guards
        The daemons that may guard each target.
    pending_moves
        Moves that the planner has asked for.
    conformed_basis
        The state at which the assignment last agreed with the plan.
    may_be_misplaced
        Whether a target may own ranges against the configuration.
    has_no_due_work
        Whether the last event left nothing to look at before the next tick.
    pending_merges
        Spans whose ranges the planner wants to be one.
    prepared_loss
        The loss that chunks were last written for in advance.
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
        """Return when a message that is made now is too old to be sent."""
        return Seconds(now + self.settings.timing.renew_interval_s)

    def may_send(self, now: Seconds) -> bool:
        """Tell whether the manager may send anything at all."""
        authority = self.authority
        hold = self.settings.timing.outage_hold_s
        return (
            authority.phase in ACTIVE_PHASES
            and self.read_state.paused_until is None
            and now < authority.confirmed_at + hold
        )
