"""Requests as the scheduler of a service sees them, and its decisions."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from laburnumyard.core.ids import (
    AttemptId,
    DataCentre,
    RouteName,
    Seconds,
    ShardKey,
    TargetId,
)

WorkId = NewType('WorkId', int)


class Outcome(Enum):
    """How the run of a request at a target ended."""

    ANSWERED = 'answered'
    # The target answered with a failure of its own.
    FAILED = 'failed'
    SHED = 'shed'
    # Another target answered at the address.
    MISDIRECTED = 'misdirected'
    NOT_OWNER = 'not-owner'
    UNREACHABLE = 'unreachable'
    BROKE_OFF = 'broke-off'
    TIMED_OUT = 'timed-out'
    CANCELLED = 'cancelled'


class Refusal(Enum):
    """Why a request is not sent to any target."""

    NO_TARGET = 'no-target'
    NO_OWNER = 'no-owner'
    OVERLOADED = 'overloaded'
    RETRY_BUDGET = 'retry-budget'
    QUARANTINED = 'quarantined'
    NOT_COORDINATOR = 'not-coordinator'


@dataclass(slots=True, eq=False)
class Work:
    """A request that waits for a slot of a target, or holds one.

    Parameters
    ----------
    work_id
        Unique within one scheduler.
    attempt_id
        The caller's name for the request, for logs.
    route
        The route, whose requests take alike long.
    rank
        The priority; 0 is the most urgent.
    key
        The key, None for services whose targets are all alike.
    data_centre
        Where the request entered.
    arrived_at
        When it came, on the clock of the scheduler.
    due_at
        Until when its answer has the full value.
    expires_at
        Until when its answer is of any use.
    excluded
        Targets that have had the request already.
    fingerprint
        Equal for requests with the same content; empty where unknown.
    sends
        How many targets it has reached already.
    """

    work_id: WorkId
    attempt_id: AttemptId
    route: RouteName
    rank: int
    key: ShardKey | None
    data_centre: DataCentre
    arrived_at: Seconds
    due_at: Seconds
    expires_at: Seconds
    excluded: frozenset[TargetId] = frozenset()
    fingerprint: bytes = b''
    sends: int = 0
    target: TargetId | None = None
    sent_at: float = 0
    order: tuple[float, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class Send:
    """The request goes to a target now, and holds a slot of it."""

    work: Work
    target: TargetId


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request goes nowhere.

    Parameters
    ----------
    work
        The request.
    reason
        Why.
    retry_after_s
        When room is expected, in seconds.
    """

    work: Work
    reason: Refusal
    retry_after_s: Seconds


Decision = Send | Refuse
