"""One request on its way through a target's queue."""

from enum import Enum
from typing import TYPE_CHECKING

from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._requests import Request

if TYPE_CHECKING:
    from laburnumyard.core.requests._flows import Flow, Line


class State(Enum):
    """Where a request is."""

    WAITING = 'waiting'
    RUNNING = 'running'
    # The run is being stopped; the caller was told, or is gone.
    CANCELLING = 'cancelling'
    # The run is being stopped; the request will wait again.
    PREEMPTING = 'preempting'
    DONE = 'done'


class Entry:
    """A request and what the queue did with it.

    Parameters
    ----------
    request
        The request.
    flow
        The flow of its customer.
    order
        Rises with each arrival.
    is_long
        Whether its operation runs far longer than the usual ones.
    """

    __slots__ = (
        'expected',
        'flow',
        'is_lent',
        'is_long',
        'is_paid',
        'is_probe',
        'line',
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
        """Let the request wait."""
        self.request = request
        self.flow = flow
        self.order = order
        self.is_long = is_long
        self.state = State.WAITING
        self.started = Seconds(0)
        # The run time that was charged at the start, in seconds.
        self.expected = Seconds(0)
        # The line that it was started from.
        self.line: Line | None = None
        # Whether it was charged to the customer's paid share.
        self.is_paid = False
        # Whether its slot may be taken back for a customer's paid share.
        self.is_lent = False
        # Whether it runs although it looks too late.
        self.is_probe = False
        self.preemptions = 0
