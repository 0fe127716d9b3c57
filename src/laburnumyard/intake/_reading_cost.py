"""What a request that is being read draws from the memory account."""

from collections.abc import Callable

from laburnumyard.core.memory_account import REQUEST_BYTES, Holder

# Bytes of a head or body that are drawn at once; fewer are drawn when a request
# is complete, or when a part of its body was parsed. The charge for each
# connection covers them until then.
DRAW_STEP_BYTES = 16_384


class ParsingStoppedError(Exception):
    """Raised in a callback of httptools to leave the rest unparsed."""


class ReadingCost:
    """Bytes of one request, drawn step by step.

    Parameters
    ----------
    draw
        Draws bytes; returns False after it has refused or cut the caller.
    give_back
        Gives bytes back.
    """

    def __init__(
        self,
        draw: Callable[[Holder, int], bool],
        give_back: Callable[[Holder, int], None],
    ) -> None:
        """Create the cost of no request."""
        self.draw = draw
        self.give_back = give_back
        self.undrawn = 0
        self.head = 0
        self.body = 0

    @property
    def drawn(self) -> int:
        """Bytes that are drawn."""
        return self.head + self.body

    def add_head(self, size: int) -> None:
        """Count bytes of a head."""
        self.undrawn += size
        if self.undrawn > DRAW_STEP_BYTES:
            self.head += self.draw_rest(Holder.HEADS)

    def add_body(self, size: int) -> None:
        """Count bytes of a body."""
        self.undrawn += size
        if self.undrawn > DRAW_STEP_BYTES:
            self.body += self.draw_rest(Holder.BODIES)

    def draw_body(self) -> None:
        """Draw what is not yet drawn of a body."""
        if self.undrawn:
            self.body += self.draw_rest(Holder.BODIES)

    def settle(self) -> tuple[tuple[Holder, int], ...]:
        """Draw for a complete request; return what to give back later."""
        self.undrawn += REQUEST_BYTES
        costs = [(Holder.REQUESTS, self.draw_rest(Holder.REQUESTS))]
        if self.head:
            costs.append((Holder.HEADS, self.head))
        if self.body:
            costs.append((Holder.BODIES, self.body))
        self.head = 0
        self.body = 0
        return tuple(costs)

    def draw_rest(self, holder: Holder) -> int:
        """Draw what is not yet drawn, and return its size.

        Raises
        ------
        ParsingStoppedError
            If there is no memory for it; the caller was refused or cut.
        """
        size = self.undrawn
        self.undrawn = 0
        if not self.draw(holder, size):
            raise ParsingStoppedError
        return size

    def release(self) -> None:
        """Give everything back."""
        self.give_back(Holder.HEADS, self.head)
        self.give_back(Holder.BODIES, self.body)
        self.undrawn = 0
        self.head = 0
        self.body = 0
