"""Fair queueing state of one customer and of one priority level."""

from collections import deque
from math import ceil
from typing import NamedTuple

from laburnumyard.core.ids import CustomerName, Seconds
from laburnumyard.core.requests._entries import QueueEntry, RequestState
from laburnumyard.core.requests._share_meter import ShareMeter
from laburnumyard.schema._generated.objects import PriorityClass

# Burst that a customer may use ahead of its paid share.
PAID_BURST_S = 5
# Least shares of classes have no burst.
LEAST_SHARE_BURST_S = 0


class Rank(NamedTuple):
    """Rank of a priority level; the lowest is served first."""

    is_deferrable: bool
    class_rank: float
    is_unpaid: bool


class SchedulingKey(NamedTuple):
    """Sort key of a flow; the lowest is served first."""

    rank: Rank
    is_ahead: bool
    virtual_time: float


class PriorityLevel:
    """Requests of one priority class at one target, with or without a share.

    Parameters
    ----------
    priority_class
        The class.
    is_paid
        Whether it is the level of requests within paid shares, which are
        served before the others of the class.
    least_share_meter
        Meter of the least share of the class, if it has one.
    """

    def __init__(
        self,
        priority_class: PriorityClass,
        is_paid: bool,
        least_share_meter: ShareMeter | None,
    ) -> None:
        """Start at virtual time 0."""
        self.priority_class = priority_class
        self.is_paid = is_paid
        self.least_share_meter = least_share_meter
        self.is_deferrable = priority_class.deferrable
        self.rank = Rank(
            priority_class.deferrable,
            priority_class.rank,
            not is_paid,
        )
        # Virtual start time of the request started last.
        self.virtual_time: float = 0

    def is_below_least_share(self, now: Seconds) -> bool:
        """Return whether the class used less than its least share."""
        return (
            self.least_share_meter is not None
            and self.least_share_meter.is_within(now)
        )


def levels_of_class(
    priority_class: PriorityClass, slots: int
) -> tuple[PriorityLevel, PriorityLevel]:
    """Create the two levels of a class: within paid shares, and the rest.

    Parameters
    ----------
    priority_class
        The class.
    slots
        Number of slots of the target.
    """
    least_share_meter = None
    if priority_class.least_share > 0:
        least_share_meter = ShareMeter(
            priority_class.least_share * slots,
            LEAST_SHARE_BURST_S,
        )
    return PriorityLevel(
        priority_class, True, least_share_meter
    ), PriorityLevel(priority_class, False, least_share_meter)


class Flow:
    """The waiting requests of one customer.

    Parameters
    ----------
    customer
        The customer.
    level
        The paid level of its class; the common level without a share.
    share
        The paid fraction of the slots, 0 without a share.
    slots
        Number of slots of the target.
    """

    def __init__(
        self,
        customer: CustomerName,
        level: PriorityLevel,
        share: float,
        slots: int,
    ) -> None:
        """Start with nothing waiting."""
        self.customer = customer
        self.level = level
        self.weight = share or 1
        self.paid_slots = ceil(share * slots)
        self.paid_running = 0
        self.meter: ShareMeter | None = None
        if share:
            self.meter = ShareMeter(share * slots, PAID_BURST_S)
        self.waiting = 0
        self.short_entries: deque[QueueEntry] = deque()
        self.long_entries: deque[QueueEntry] = deque()
        # Virtual time in each level, in weighted slot seconds.
        self.virtual_times: dict[PriorityLevel, float] = {}

    def is_within_share(self, now: Seconds) -> bool:
        """Return whether another run would be within the paid share."""
        return self.meter is not None and self.meter.is_within(now)

    def scheduling_key(
        self, level: PriorityLevel, now: Seconds
    ) -> SchedulingKey:
        """Return the sort key of the customer's next request.

        With virtual times alone, a customer that uses its whole burst at
        once would delay customers that stay within their shares.
        """
        is_ahead = level.is_paid and self.meter.is_ahead(now)
        return SchedulingKey(level.rank, is_ahead, self.virtual_time_in(level))

    def append(self, entry: QueueEntry) -> None:
        """Append a request to the queue of the customer."""
        self.waiting += 1
        (self.long_entries if entry.is_long else self.short_entries).append(
            entry
        )

    def restore(self, entry: QueueEntry) -> None:
        """Put a preempted request at the head of the customer's queue."""
        entry.state = RequestState.WAITING
        self.waiting += 1
        (self.long_entries if entry.is_long else self.short_entries).appendleft(
            entry
        )

    def remove(self, entry: QueueEntry, state: RequestState) -> None:
        """Remove a request from the waiting ones."""
        entry.state = state
        self.waiting -= 1
        if not self.waiting:
            self.short_entries.clear()
            self.long_entries.clear()

    def head(self, is_long_allowed: bool) -> QueueEntry | None:
        """Return the oldest request that may start."""
        oldest_short = _oldest(self.short_entries)
        if not is_long_allowed:
            return oldest_short
        oldest_long = _oldest(self.long_entries)
        if oldest_short is None or oldest_long is None:
            return oldest_short or oldest_long
        return min(oldest_short, oldest_long, key=_order)

    def newest(self) -> QueueEntry | None:
        """Return the newest request that was never sent to the target."""
        newest = (_newest(self.short_entries), _newest(self.long_entries))
        return max(filter(None, newest), key=_order, default=None)

    def entries(self) -> list[QueueEntry]:
        """Return all waiting requests, oldest first."""
        waiting = [
            entry
            for entry in (*self.short_entries, *self.long_entries)
            if entry.state is RequestState.WAITING
        ]
        return sorted(waiting, key=_order)

    def copy_usage_from(self, previous: 'Flow') -> None:
        """Copy the used part of the share from the customer's previous flow."""
        if self.meter is not None and previous.meter is not None:
            self.meter.theoretical_arrival_at = (
                previous.meter.theoretical_arrival_at
            )

    def virtual_time_in(self, level: PriorityLevel) -> float:
        """Return the customer's virtual time in a level; the lowest is next."""
        return max(self.virtual_times.get(level, 0), level.virtual_time)


def _order(entry: QueueEntry) -> int:
    return entry.order


def _oldest(queue: deque[QueueEntry]) -> QueueEntry | None:
    while queue and queue[0].state is not RequestState.WAITING:
        queue.popleft()
    return queue[0] if queue else None


def _newest(queue: deque[QueueEntry]) -> QueueEntry | None:
    while queue and queue[-1].state is not RequestState.WAITING:
        queue.pop()
    for entry in reversed(queue):
        if entry.state is RequestState.WAITING and not entry.preemptions:
            return entry
    return None
