"""Weighted fair queueing: classes by rank, customers by shares."""

from collections.abc import Collection, Iterable
from math import inf
from typing import NamedTuple

from laburnumyard.core.ids import CustomerName, Seconds
from laburnumyard.core.requests._entries import QueueEntry, RequestState
from laburnumyard.core.requests._flows import (
    Flow,
    PriorityLevel,
    Rank,
    SchedulingKey,
    levels_of_class,
)
from laburnumyard.core.requests._settings import QueueSettings

# Sorts after the key of every waiting request.
LAST_SCHEDULING_KEY = SchedulingKey(Rank(True, inf, True), True, inf)


class Selection(NamedTuple):
    """The next request to start, and its priority level."""

    entry: QueueEntry
    level: PriorityLevel


class Flows:
    """The waiting requests of all customers at one target.

    Parameters
    ----------
    settings
        The settings of the queue.
    slots
        Number of slots of the target.
    """

    def __init__(self, settings: QueueSettings, slots: int) -> None:
        """Start with nothing waiting."""
        self.settings = settings
        self.slots = slots
        # Keyed by whether it is the paid level, and the class.
        self.levels = {
            (level.is_paid, name): level
            for name, priority_class in settings.classes.items()
            for level in levels_of_class(priority_class, slots)
        }
        self.all_levels = frozenset(self.levels.values())
        self.common_level = self.levels[False, settings.common_class.name]
        self.guaranteed_levels = [
            level
            for level in self.levels.values()
            if level.least_share_meter is not None
        ]
        self.flow_by_customer: dict[CustomerName, Flow] = {}
        # Flows with waiting requests; those of deferrable classes separately.
        self.active_flows: dict[CustomerName, Flow] = {}
        self.deferred_flows: dict[CustomerName, Flow] = {}
        # Number of waiting requests in each of the two.
        self.waiting = 0
        self.waiting_deferred = 0

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits."""
        return bool(self.waiting or self.waiting_deferred)

    def flow_of(self, customer: CustomerName) -> Flow:
        """Return the flow of a customer, creating it if necessary."""
        flow = self.flow_by_customer.get(customer)
        if flow is None:
            flow = self._new_flow(customer)
            self.flow_by_customer[customer] = flow
        return flow

    def level_of(self, flow: Flow, now: Seconds) -> PriorityLevel:
        """Return the priority level of the customer's next request."""
        if flow.meter is None or flow.is_within_share(now):
            return flow.level
        own_level = self.levels[False, flow.level.priority_class.name]
        return max(own_level, self.common_level, key=_rank)

    def add(self, entry: QueueEntry) -> None:
        """Append a request to the queue of its customer."""
        entry.flow.append(entry)
        self._count_waiting(entry.flow)

    def restore(self, entry: QueueEntry) -> None:
        """Put a preempted request at the head of its customer's queue."""
        entry.flow.restore(entry)
        self._count_waiting(entry.flow)

    def remove(self, entry: QueueEntry, state: RequestState) -> None:
        """Remove a request from the waiting ones."""
        flow = entry.flow
        flow.remove(entry, state)
        if flow.level.is_deferrable:
            self.waiting_deferred -= 1
        else:
            self.waiting -= 1
        if not flow.waiting:
            self._flows_like(flow).pop(flow.customer, None)

    def select_next(
        self,
        now: Seconds,
        *,
        is_long_allowed: bool,
        is_deferred_allowed: bool,
    ) -> Selection | None:
        """Select the request that starts next.

        Classes below their least share are served first, then the classes by
        rank. Within a class, customers far ahead of their paid shares are
        served last; otherwise the one with the lowest virtual time is first.

        Parameters
        ----------
        now
            The current time, in seconds.
        is_long_allowed
            Whether a long operation may start.
        is_deferred_allowed
            Whether a request of a deferrable class may start.

        Returns
        -------
        Selection or None
            None if no waiting request may start.
        """
        underserved_levels = [
            level
            for level in self.guaranteed_levels
            if level.is_below_least_share(now)
        ]
        if underserved_levels:
            flows = (*self.active_flows.values(), *self.deferred_flows.values())
            selection = self._select_from(
                flows, now, is_long_allowed, underserved_levels
            )
            if selection is not None:
                return selection
        flows = self.active_flows.values()
        selection = self._select_from(
            flows, now, is_long_allowed, self.all_levels
        )
        if selection is None and is_deferred_allowed:
            flows = self.deferred_flows.values()
            selection = self._select_from(
                flows, now, is_long_allowed, self.all_levels
            )
        return selection

    def start(
        self, selection: Selection, charged_run_time: Seconds, now: Seconds
    ) -> None:
        """Charge the start of a run to its customer and class.

        Parameters
        ----------
        selection
            The result of ``select_next``.
        expected
            The estimated run time to charge, in seconds.
        now
            The current time, in seconds.
        """
        entry, level = selection
        flow = entry.flow
        entry.level = level
        entry.started = now
        entry.charged_run_time = charged_run_time
        entry.is_paid = flow.is_within_share(now)
        entry.is_borrowing = not (
            entry.is_paid or level.is_below_least_share(now)
        )
        level.virtual_time = flow.virtual_time_in(level)
        flow.virtual_times[level] = (
            level.virtual_time + charged_run_time / _weight(flow, level)
        )
        if entry.is_paid:
            flow.paid_running += 1
            flow.meter.charge(charged_run_time, now)
        if level.least_share_meter is not None:
            level.least_share_meter.charge(charged_run_time, now)
        self.remove(entry, RequestState.RUNNING)

    def correct_charges(self, entry: QueueEntry, now: Seconds) -> None:
        """Replace the charged run time of a finished run by the actual one."""
        flow = entry.flow
        level = entry.level
        difference = now - entry.started - entry.charged_run_time
        flow.virtual_times[level] = flow.virtual_time_in(
            level
        ) + difference / _weight(flow, level)
        if entry.is_paid:
            flow.paid_running -= 1
            flow.meter.correct(difference)
        if level.least_share_meter is not None:
            level.least_share_meter.correct(difference)

    def entitled_waiting(self, now: Seconds, is_long_allowed: bool) -> int:
        """Count the waiting requests that are entitled to borrowed slots."""
        return sum(
            min(flow.waiting, max(flow.paid_slots - flow.paid_running, 0))
            for flow in self.active_flows.values()
            if flow.level.rank < self.common_level.rank
            and flow.is_within_share(now)
            and flow.head(is_long_allowed)
        )

    def _new_flow(self, customer: CustomerName) -> Flow:
        share = self.settings.shares.get(customer)
        if share is None:
            return Flow(customer, self.common_level, 0, self.slots)
        level = self.levels[True, share.priority_class]
        return Flow(customer, level, share.share, self.slots)

    def _flows_like(self, flow: Flow) -> dict[CustomerName, Flow]:
        return (
            self.deferred_flows
            if flow.level.is_deferrable
            else self.active_flows
        )

    def _count_waiting(self, flow: Flow) -> None:
        self._flows_like(flow)[flow.customer] = flow
        if flow.level.is_deferrable:
            self.waiting_deferred += 1
        else:
            self.waiting += 1

    def _select_from(
        self,
        flows: Iterable[Flow],
        now: Seconds,
        is_long_allowed: bool,
        levels: Collection[PriorityLevel],
    ) -> Selection | None:
        best = None
        best_key = LAST_SCHEDULING_KEY
        for flow in flows:
            level = self.level_of(flow, now)
            if level not in levels:
                continue
            key = flow.scheduling_key(level, now)
            if key >= best_key:
                continue
            entry = flow.head(is_long_allowed)
            if entry is not None:
                best = Selection(entry, level)
                best_key = key
        return best


def _rank(level: PriorityLevel) -> Rank:
    return level.rank


def _weight(flow: Flow, level: PriorityLevel) -> float:
    return flow.weight if level.is_paid else 1
