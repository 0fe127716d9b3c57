"""A request in a target's queue, and its lifecycle events."""

from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import CustomerName, RequestId, Seconds


@dataclass(slots=True)
class Request:
    """The properties of a request that the queue needs.

    Parameters
    ----------
    request_id
        Unique among the requests that the queue holds.
    customer
        The customer that sent it.
    operation
        Groups requests with similar run times, such as ``GET bench``.
    deadline
        When its answer is due, in seconds on the clock of ``now``.
    repeatable
        Whether it may run more than once.
    """

    request_id: RequestId
    customer: CustomerName
    operation: str
    deadline: Seconds
    repeatable: bool


class Outcome(Enum):
    """How the run of a request at the target ended."""

    # The complete answer was read.
    ANSWERED = 'answered'
    # The target rejected the request without starting it.
    SHED = 'shed'
    # No byte of the request was sent to the target.
    UNREACHABLE = 'unreachable'
    # The connection closed before the answer was complete.
    BROKEN_OFF = 'broken-off'
    # The daemon closed the connection because the queue required it.
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class Arrive:
    """A request arrived at the queue."""

    request: Request


@dataclass(slots=True)
class Finished:
    """The run of a request ended; delivered exactly once per ``Send``."""

    request_id: RequestId
    outcome: Outcome


@dataclass(slots=True)
class CallerDisconnected:
    """The caller of a request no longer waits for its answer."""

    request_id: RequestId
