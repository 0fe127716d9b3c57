"""Actions that a target's queue requests from the dispatcher."""

from dataclasses import dataclass

from laburnumyard.core.errors import Failure
from laburnumyard.core.ids import RequestId, Seconds


@dataclass(slots=True)
class Send:
    """Send the request to the target now."""

    request_id: RequestId


@dataclass(slots=True)
class Refuse:
    """Answer the caller; the request did not run and leaves the queue."""

    request_id: RequestId
    failure: Failure


@dataclass(slots=True)
class CancelRunning:
    """Stop the run at the target and report ``Finished``.

    Parameters
    ----------
    request_id
        The running request.
    failure
        The failure to return to the caller at once; ``None`` if no caller
        waits.
    """

    request_id: RequestId
    failure: Failure | None


@dataclass(slots=True)
class Preempt:
    """Stop the run at the target without answering the caller.

    After ``Finished`` with ``CANCELLED`` the request is queued again, and a
    ``Send`` or ``Refuse`` follows. Only repeatable requests that run beyond
    any share, on borrowed slots, are preempted.
    """

    request_id: RequestId


@dataclass(slots=True)
class WakeAt:
    """Deliver a ``Tick`` at this time; replaces any earlier ``WakeAt``."""

    time: Seconds


Effect = Send | Refuse | CancelRunning | Preempt | WakeAt
