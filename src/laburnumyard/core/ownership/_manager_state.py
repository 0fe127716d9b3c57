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
    LATER,
    NEVER,
    ForeseenLoss,
    TargetLease,
)
from laburnumyard.core.ownership._manager_settings import ManagerSettings
from laburnumyard.core.ownership._service_plan import ServicePlan
from laburnumyard.schema._generated.messages import Assignment

NO_TERM = Term(0)
FIRST_RETRY_INTERVAL = 0.2
# Between two urgent reads, so that a crowd of targets shares one.
URGENT_INTERVAL = 0.02


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
class WantedMove:
    """A move that the planner has asked for.

    Parameters
    ----------
    to
        The new owner.
    drop_at
        When the hint is too old to be followed, in seconds.
    """

    to: TargetName
    drop_at: Seconds


@dataclass(frozen=True, slots=True)
class ConformedTo:
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
    contact
        A time at which the store is known to have named it as the manager.
    taken_at
        When it learnt that it had the term.
    highest_term
        The highest term that any target has shown.
    replacing
        The term that its takeover replaces; another one in the head means
        that somebody else was faster.
    unheld
        Targets to which nobody can have granted anything before.
    is_silent
        Whether it has been unable to send since its last message.
    offer_at
        When its daemon, if it leaves, offers the scope to another.
    """

    phase: Phase = Phase.IDLE
    term: Term = NO_TERM
    contact: Seconds = NEVER
    taken_at: Seconds = NEVER
    highest_term: Term = NO_TERM
    replacing: Term | None = None
    unheld: frozenset[TargetName] = frozenset()
    is_silent: bool = False
    offer_at: Seconds = LATER


@dataclass(slots=True)
class Reading:
    """The manager's reads of the head.

    Parameters
    ----------
    asked
        Whether a read is under way.
    regular_at
        When the next regular one is due.
    retry_at
        When an urgent one may be made.
    retry_interval
        How long the next failure delays the next read, in seconds.
    is_stale
        Whether the store has a newer head than the known one, or may have.
    is_absent
        Whether the store has said that there is no head.
    awake_at
        When the manager found that it had slept; it is silent until a read
        asked after that has been answered, or has failed.
    """

    asked: bool = False
    regular_at: Seconds = NEVER
    retry_at: Seconds = NEVER
    retry_interval: float = FIRST_RETRY_INTERVAL
    is_stale: bool = False
    is_absent: bool = False
    awake_at: Seconds | None = None


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
    staying
        Targets whose order has been taken back.
    leaving
        Targets that report, or are listed by the platform, to be leaving.
    down
        Guarded targets that their guard cannot reach.
    guards
        The daemons that may guard each target.
    moves
        Moves that the planner has asked for.
    conformed
        The state at which the assignment last agreed with the plan.
    may_be_misplaced
        Whether a target may own ranges against the configuration.
    is_settled
        Whether the last event left nothing to look at before the next tick.
    merges
        Spans whose ranges the planner wants to be one.
    foreseen
        The loss that chunks were last written for in advance.
    """

    settings: ManagerSettings
    plan: ServicePlan
    authority: Authority = field(default_factory=Authority)
    reading: Reading = field(default_factory=Reading)
    snapshot: Snapshot | None = None
    owners: Mapping[TargetName, tuple[HashRange, ...]] = field(
        default_factory=dict,
    )
    change: Change | None = None
    change_count: int = 0
    call_count: int = 0
    leases: dict[TargetName, TargetLease] = field(default_factory=dict)
    draining: set[TargetName] = field(default_factory=set)
    staying: set[TargetName] = field(default_factory=set)
    leaving: set[TargetName] = field(default_factory=set)
    down: set[TargetName] = field(default_factory=set)
    guards: dict[TargetName, GuardCandidates] = field(default_factory=dict)
    moves: dict[HashRange, WantedMove] = field(default_factory=dict)
    conformed: ConformedTo | None = None
    may_be_misplaced: bool = True
    is_settled: bool = False
    merges: list[HashRange] = field(default_factory=list)
    foreseen: ForeseenLoss | None = None

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

    def stale_at(self, now: Seconds) -> Seconds:
        """Return when a message that is made now is too old to be sent."""
        return Seconds(now + self.settings.timing.renew_interval_s)

    def is_confirmed(self, now: Seconds) -> bool:
        """Tell whether the manager may send anything at all."""
        authority = self.authority
        hold = self.settings.timing.outage_hold_s
        return (
            authority.phase in ACTIVE_PHASES
            and self.reading.awake_at is None
            and now < authority.contact + hold
        )
