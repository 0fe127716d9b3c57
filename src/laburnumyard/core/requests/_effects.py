"""What a target's queue wants done."""

from dataclasses import dataclass

from laburnumyard.core.errors import Failure
from laburnumyard.core.ids import RequestId, Seconds


@dataclass(slots=True)
class Send:
    """Send the request to the target now."""

    request_id: RequestId


@dataclass(slots=True)
class Refuse:
    """Answer the caller: the request did not run and leaves the queue."""

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
        What the caller is told at once; ``None`` where no caller waits.
    """

    request_id: RequestId
    failure: Failure | None


@dataclass(slots=True)
class Preempt:
    """Stop the run at the target, tell the caller nothing.

    Once ``Finished`` with ``CANCELLED`` is reported, the request waits again
    and a later ``Send`` or ``Refuse`` follows. Only repeatable requests that
    run on a lent slot are preempted.
    """

    request_id: RequestId


@dataclass(slots=True)
class WakeAt:
    """Feed a ``Tick`` at this time; replaces any earlier ``WakeAt``."""

    time: Seconds


Effect = Send | Refuse | CancelRunning | Preempt | WakeAt
