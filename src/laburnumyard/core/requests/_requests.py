"""A request in a target's queue, and the events of its life."""

from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import CustomerName, RequestId, Seconds


@dataclass(slots=True)
class Request:
    """What the queue knows of one request.

    Parameters
    ----------
    request_id
        Unique among the requests that the queue holds.
    customer
        Who sends it.
    operation
        Names requests of about the same length, such as ``GET bench``.
    deadline
        When its answer is due, on the clock of ``now``.
    repeatable
        Whether it may be run again.
    """

    request_id: RequestId
    customer: CustomerName
    operation: str
    deadline: Seconds
    repeatable: bool


class Outcome(Enum):
    """How the run of a request at the target ended."""

    # The whole answer was read.
    ANSWERED = 'answered'
    # The target said that it did not start the request.
    SHED = 'shed'
    # No byte of the request left for the target.
    UNREACHABLE = 'unreachable'
    # The connection ended before the answer was whole.
    BROKEN_OFF = 'broken-off'
    # The daemon closed the connection on the queue's word.
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class Arrive:
    """A request wants to run."""

    request: Request


@dataclass(slots=True)
class Finished:
    """The run of a request ended; follows every ``Send`` exactly once."""

    request_id: RequestId
    outcome: Outcome


@dataclass(slots=True)
class CallerGone:
    """The caller of a request no longer waits for its answer."""

    request_id: RequestId
