"""When the next deadline of a queue is due."""

from heapq import heapify, heappop, heappush

from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._entries import Entry, State

OVER = frozenset((State.DONE, State.CANCELLING))
# The heap may hold so many requests that are over before it is cleaned.
LEAST_COMPACTED = 256


class Deadlines:
    """The deadlines of all requests that wait or run."""

    def __init__(self) -> None:
        """Start with none."""
        self.heap: list[tuple[Seconds, int, Entry]] = []

    def add(self, entry: Entry) -> None:
        """Watch the deadline of a request until it is over."""
        heappush(self.heap, (entry.request.deadline, entry.order, entry))

    def pop_due(self, now: Seconds) -> Entry | None:
        """Take out a request whose deadline has passed, if there is one."""
        while self.heap and self.heap[0][0] <= now:
            entry = heappop(self.heap)[-1]
            if entry.state not in OVER:
                return entry
        return None

    def next_due(self) -> Seconds | None:
        """Give the earliest deadline of a request that is not over."""
        while self.heap and self.heap[0][-1].state in OVER:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def compact(self, held: int) -> None:
        """Drop the requests that are over once they are the most.

        Parameters
        ----------
        held
            How many requests wait or run.
        """
        if len(self.heap) < max(LEAST_COMPACTED, 2 * held):
            return
        self.heap = [item for item in self.heap if item[-1].state not in OVER]
        heapify(self.heap)
