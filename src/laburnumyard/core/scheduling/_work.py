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
    target: TargetId | None = None
    sent_at: float = 0
    order: tuple[float, ...] = field(default=())


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
