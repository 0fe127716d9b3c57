"""The waiting requests of one customer, and the line of one class."""

from collections import deque
from math import ceil
from typing import NamedTuple

from laburnumyard.core.ids import CustomerName, Seconds
from laburnumyard.core.requests._entries import Entry, State
from laburnumyard.core.requests._share_meter import ShareMeter
from laburnumyard.schema._generated.objects import PriorityClass

# How far a customer's use may run ahead of its paid share.
PAID_BURST_S = 5
# A class that lives on its least share has no advance.
LEAST_SHARE_BURST_S = 0


class Rank(NamedTuple):
    """The order of service; the lowest rank is served first."""

    is_deferrable: bool
    class_rank: float
    is_unpaid: bool


class Place(NamedTuple):
    """The order of service among customers; the lowest is served first."""

    rank: Rank
    is_ahead: bool
    turn: float


class Line:
    """Those of one priority class at one target who stand equal.

    Parameters
    ----------
    priority_class
        The class.
    is_paid
        Whether it is the line of those within their paid shares, who go
        before the others of the class.
    least
        Meters the least share of the class, where it has one.
    """

    def __init__(
        self,
        priority_class: PriorityClass,
        is_paid: bool,
        least: ShareMeter | None,
    ) -> None:
        """Start with nothing served."""
        self.priority_class = priority_class
        self.is_paid = is_paid
        self.least = least
        self.is_deferrable = priority_class.deferrable
        self.rank = Rank(
            priority_class.deferrable,
            priority_class.rank,
            not is_paid,
        )
        # The fair turn of the request that was started last.
        self.turn: float = 0

    def is_owed(self, now: Seconds) -> bool:
        """Tell whether the class has had less than its least share."""
        return self.least is not None and self.least.is_within(now)


def class_lines(priority_class: PriorityClass, slots: int) -> tuple[Line, Line]:
    """Open the lines of a class: within paid shares, and the others.

    Parameters
    ----------
    priority_class
        The class.
    slots
        The slots of the target.
    """
    least = None
    if priority_class.least_share > 0:
        least = ShareMeter(
            priority_class.least_share * slots,
            LEAST_SHARE_BURST_S,
        )
    return Line(priority_class, True, least), Line(priority_class, False, least)


class Flow:
    """The waiting requests of one customer.

    Parameters
    ----------
    customer
        The customer.
    line
        The paid line of its class; the common line without a share.
    share
        The fraction of the slots that it paid for, 0 without a share.
    slots
        The slots of the target.
    """

    def __init__(
        self,
        customer: CustomerName,
        line: Line,
        share: float,
        slots: int,
    ) -> None:
        """Start with nothing waiting."""
        self.customer = customer
        self.line = line
        self.weight = share or 1
        self.paid_slots = ceil(share * slots)
        self.paid_running = 0
        self.meter: ShareMeter | None = None
        if share:
            self.meter = ShareMeter(share * slots, PAID_BURST_S)
        self.waiting = 0
        self.shorts: deque[Entry] = deque()
        self.longs: deque[Entry] = deque()
        # The fair turn in each line, in weighted slot seconds.
        self.turns: dict[Line, float] = {}

    def is_within_share(self, now: Seconds) -> bool:
        """Tell whether one more run would be within the paid share."""
        return self.meter is not None and self.meter.is_within(now)

    def place_in(self, line: Line, now: Seconds) -> Place:
        """Give the place of the customer's next request; the least is next.

        Where all took fair turns, a customer that uses up its whole burst
        at once would hold up those who keep to their shares.
        """
        is_ahead = line.is_paid and self.meter.is_ahead(now)
        return Place(line.rank, is_ahead, self.turn_in(line))

    def append(self, entry: Entry) -> None:
        """Let a request wait behind the others of the customer."""
        self.waiting += 1
        (self.longs if entry.is_long else self.shorts).append(entry)

    def restore(self, entry: Entry) -> None:
        """Let a preempted request wait before the others of the customer."""
        entry.state = State.WAITING
        self.waiting += 1
        (self.longs if entry.is_long else self.shorts).appendleft(entry)

    def remove(self, entry: Entry, state: State) -> None:
        """Take a request out of the waiting ones."""
        entry.state = state
        self.waiting -= 1
        if not self.waiting:
            self.shorts.clear()
            self.longs.clear()

    def head(self, is_long_allowed: bool) -> Entry | None:
        """Give the oldest request that may start."""
        short = _oldest(self.shorts)
        if not is_long_allowed:
            return short
        long = _oldest(self.longs)
        if short is None or long is None:
            return short or long
        return min(short, long, key=_order)

    def newest(self) -> Entry | None:
        """Give the newest request that was never sent."""
        newest = (_newest(self.shorts), _newest(self.longs))
        return max(filter(None, newest), key=_order, default=None)

    def entries(self) -> list[Entry]:
        """Give every waiting request, the oldest first."""
        waiting = [
            entry
            for entry in (*self.shorts, *self.longs)
            if entry.state is State.WAITING
        ]
        return sorted(waiting, key=_order)

    def inherit(self, former: 'Flow') -> None:
        """Take over what the customer has used of its share."""
        if self.meter is not None and former.meter is not None:
            self.meter.earned_at = former.meter.earned_at

    def turn_in(self, line: Line) -> float:
        """Give the customer's fair turn in a line; the least is next."""
        return max(self.turns.get(line, 0), line.turn)


def _order(entry: Entry) -> int:
    return entry.order


def _oldest(queue: deque[Entry]) -> Entry | None:
    while queue and queue[0].state is not State.WAITING:
        queue.popleft()
    return queue[0] if queue else None


def _newest(queue: deque[Entry]) -> Entry | None:
    while queue and queue[-1].state is not State.WAITING:
        queue.pop()
    for entry in reversed(queue):
        if entry.state is State.WAITING and not entry.preemptions:
            return entry
    return None
