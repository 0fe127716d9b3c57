"""What the requests of one connection draw from the memory account."""

from collections import deque

from laburnumyard.core.memory_account import (
    HEADER_LINE_BYTES,
    Holder,
    MemoryClaim,
)
from laburnumyard.intake import ReadingCost

HolderCosts = tuple[tuple[Holder, int], ...]

# A body is kept once as received and once as it is passed on.
BODY_COPIES = 2


class RequestCosts:
    """Bytes of the requests that are read or wait for a response, in order.

    Parameters
    ----------
    cost
        Draws for the request that is being read.
    claim
        What the connection holds.
    """

    def __init__(self, cost: ReadingCost, claim: MemoryClaim) -> None:
        """Create the costs of no request."""
        self.cost = cost
        self.claim = claim
        self.complete: deque[HolderCosts] = deque()

    def add_header(self, name: bytes, text: bytes) -> None:
        """Count a header line."""
        self.cost.add_head(len(name) + len(text) + HEADER_LINE_BYTES)

    def add_body(self, body: bytes) -> None:
        """Count a part of a body."""
        self.cost.add_body(BODY_COPIES * len(body))

    def finish_request(self, *, is_answered: bool) -> None:
        """Keep what a complete request drew until its response is known."""
        if is_answered:
            self.cost.release()
        else:
            self.complete.append(self.cost.settle())

    def finish_response(self) -> None:
        """Give back what the request with the next response drew."""
        if not self.complete:
            self.cost.release()
            return
        for holder, size in self.complete.popleft():
            self.claim.give_back(holder, size)
