"""State of one request in a target's queue."""

from enum import Enum
from typing import TYPE_CHECKING

from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._requests import Request

if TYPE_CHECKING:
    from laburnumyard.core.requests._flows import Flow, PriorityLevel


class RequestState(Enum):
    """Lifecycle state of a request."""

    WAITING = 'waiting'
    RUNNING = 'running'
    # The run is being stopped; the caller was answered or has disconnected.
    CANCELLING = 'cancelling'
    # The run is being stopped; the request will be queued again.
    PREEMPTING = 'preempting'
    DONE = 'done'


class QueueEntry:
    """A request and its scheduling state.

    Parameters
    ----------
    request
        The request.
    flow
        The flow of its customer.
    order
        Sequence number of the arrival.
    is_long
        Whether its operation runs far longer than the common ones.
    """

    __slots__ = (
        'charged_run_time',
        'flow',
        'is_borrowing',
        'is_long',
        'is_paid',
        'is_probe',
        'level',
        'order',
        'preemptions',
        'request',
        'started',
        'state',
    )

    def __init__(
        self,
        request: Request,
        flow: 'Flow',
        order: int,
        is_long: bool,
    ) -> None:
        """Create an entry for a waiting request."""
        self.request = request
        self.flow = flow
        self.order = order
        self.is_long = is_long
        self.state = RequestState.WAITING
        self.started = Seconds(0)
        # Estimated run time charged at the start, in seconds.
        self.charged_run_time = Seconds(0)
        # The priority level from which it was started.
        self.level: PriorityLevel | None = None
        # Whether the run was charged to the customer's paid share.
        self.is_paid = False
        # Whether it may be preempted for a request within a paid share.
        self.is_borrowing = False
        # Whether it is admitted, despite its estimate, to correct the estimate.
        self.is_probe = False
        self.preemptions = 0
