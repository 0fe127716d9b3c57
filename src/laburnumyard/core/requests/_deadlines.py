"""Heap of the deadlines of all requests in a queue."""

from heapq import heapify, heappop, heappush

from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._entries import QueueEntry, RequestState

FINISHED_STATES = frozenset((RequestState.DONE, RequestState.CANCELLING))
# Heaps smaller than this are not compacted.
MIN_COMPACTED_SIZE = 256


class Deadlines:
    """Deadlines of all waiting and running requests."""

    def __init__(self) -> None:
        """Start with an empty heap."""
        self.heap: list[tuple[Seconds, int, QueueEntry]] = []

    def add(self, entry: QueueEntry) -> None:
        """Track the deadline of a request until it finishes."""
        heappush(self.heap, (entry.request.deadline, entry.order, entry))

    def pop_due(self, now: Seconds) -> QueueEntry | None:
        """Remove and return a request whose deadline has passed, if any."""
        while self.heap and self.heap[0][0] <= now:
            entry = heappop(self.heap)[-1]
            if entry.state not in FINISHED_STATES:
                return entry
        return None

    def next_due(self) -> Seconds | None:
        """Return the earliest deadline of an unfinished request."""
        while self.heap and self.heap[0][-1].state in FINISHED_STATES:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def compact(self, entry_count: int) -> None:
        """Drop finished requests once they are the majority of the heap.

        Parameters
        ----------
        entry_count
            Number of waiting and running requests.
        """
        if len(self.heap) < max(MIN_COMPACTED_SIZE, 2 * entry_count):
            return
        self.heap = [
            item for item in self.heap if item[-1].state not in FINISHED_STATES
        ]
        heapify(self.heap)
