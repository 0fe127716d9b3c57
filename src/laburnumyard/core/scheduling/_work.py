"""Requests to be scheduled, and the decisions of the scheduler."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from laburnumyard.core.ids import (
    AttemptId,
    DaemonName,
    DataCentre,
    RouteName,
    Seconds,
    ShardKey,
    TargetId,
)

WorkId = NewType('WorkId', int)
# Rank, and group within the rank; lower ones are served first.
OrderClass = tuple[int, int]
# Sender of requests that enter where the scheduler runs.
OWN_SENDER = DaemonName('')


class Outcome(Enum):
    """How the run of a request at a target ended."""

    ANSWERED = 'answered'
    # The target answered with an error.
    FAILED = 'failed'
    SHED = 'shed'
    # A different target answered at the address.
    MISDIRECTED = 'misdirected'
    NOT_OWNER = 'not-owner'
    UNREACHABLE = 'unreachable'
    # The sender knew that the target is leaving, and did not send.
    LEAVING = 'leaving'
    # The sender knew that the target has turned cold, and did not send.
    COLD = 'cold'
    # The slot was granted too long ago to send; so it is after a pause.
    LAPSED = 'lapsed'
    BROKE_OFF = 'broke-off'
    # The target sent more than a response may have.
    OVERSIZED = 'oversized'
    # The target sent what is no response, or one with an invalid status. It
    # lives, so unlike BROKE_OFF this is no sign that the request crashed it.
    INVALID = 'invalid-response'
    TIMED_OUT = 'timed-out'
    CANCELLED = 'cancelled'


class Refusal(Enum):
    """Reason for not sending a request to any target."""

    NO_TARGET = 'no-target'
    NO_OWNER = 'no-owner'
    OVERLOADED = 'overloaded'
    # Targets that could serve it have free slots, but limit their callers.
    RATE_LIMITED = 'rate-limited'
    RETRY_BUDGET = 'retry-budget'
    QUARANTINED = 'quarantined'
    NOT_COORDINATOR = 'not-coordinator'


@dataclass(slots=True, eq=False)
class Work:
    """A request that waits for a slot of a target or occupies one.

    Parameters
    ----------
    work_id
        Unique within one scheduler.
    attempt_id
        The caller's id of the request, for logs.
    route
        The route; its requests have similar run times.
    rank
        The priority; 0 is the most urgent.
    key
        The shard key; None for services whose targets are interchangeable.
    data_centre
        The data centre where the request entered.
    arrived_at
        When it arrived, in seconds on the clock of the scheduler.
    due_at
        Time until which its answer has full value.
    expires_at
        Time after which its answer is useless.
    excluded
        Targets to which the request was already sent.
    fingerprint
        Equal for requests with the same content; empty if unknown.
    sends
        How many targets it has reached so far.
    sender
        The gateway that sends it.
    cost_class
        What it shows of its cost, as one number; 0 if nothing is known.

    Attributes
    ----------
    order_class, order
        Its class, and its place in the queue; lower ones are served first.
    lane
        The target that it waits for; see ``WaitingQueue``.
    cost
        Expected run time at a target of pace 1, in seconds, when it was
        submitted.
    cost_factor
        The same relative to the mean of the route.
    pace, stretch, reported
        When it was sent: the pace expected of its target; the part of it that
        the target's reports explain; and what they would explain of the run
        time if they were fully trusted, as a logarithm.
    submitted_at
        When it came to this scheduler, in seconds; it may have waited before.
    last_end_at
        When it has to end if it has to wait, in seconds.
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
    sender: DaemonName = OWN_SENDER
    cost_class: int = 0
    cost: float = 0
    cost_factor: float = 1
    pace: float = 1
    stretch: float = 1
    reported: float = 0
    target: TargetId | None = None
    sent_at: float = 0
    order_class: OrderClass = (0, 0)
    order: tuple[float, ...] = field(default=())
    lane: TargetId | None = None
    last_end_at: float = 0
    submitted_at: float = 0


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a target, where it occupies a slot."""

    work: Work
    target: TargetId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request without sending it.

    Parameters
    ----------
    work
        The request.
    reason
        The reason.
    retry_after_s
        Time until capacity is expected, in seconds.
    """

    work: Work
    reason: Refusal
    retry_after_s: Seconds


Decision = Send | Refuse
