"""Whose turn it is: classes by rank, customers by fair shares."""

from collections.abc import Collection, Iterable
from math import inf
from typing import NamedTuple

from laburnumyard.core.ids import CustomerName, Seconds
from laburnumyard.core.requests._entries import Entry, State
from laburnumyard.core.requests._flows import (
    Flow,
    Line,
    Place,
    Rank,
    class_lines,
)
from laburnumyard.core.requests._settings import QueueSettings

# Comes after the place of every waiting request.
LAST_PLACE = Place(Rank(True, inf, True), True, inf)


class Turn(NamedTuple):
    """The request whose turn it is, and the line it stands in."""

    entry: Entry
    line: Line


class Flows:
    """All customers' waiting requests at one target.

    Parameters
    ----------
    settings
        The settings of the queue.
    slots
        The slots of the target.
    """

    def __init__(self, settings: QueueSettings, slots: int) -> None:
        """Start with nothing waiting."""
        self.settings = settings
        self.slots = slots
        # By whether it is paid, and the class.
        self.lines = {
            (line.is_paid, name): line
            for name, priority_class in settings.classes.items()
            for line in class_lines(priority_class, slots)
        }
        self.all_lines = frozenset(self.lines.values())
        self.common = self.lines[False, settings.common_class.name]
        self.guaranteed = [
            line for line in self.lines.values() if line.least is not None
        ]
        self.known: dict[CustomerName, Flow] = {}
        # Customers with waiting requests; those of deferrable classes apart.
        self.active: dict[CustomerName, Flow] = {}
        self.deferred: dict[CustomerName, Flow] = {}
        # How many requests wait in each of the two.
        self.waiting = 0
        self.waiting_deferred = 0

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits."""
        return bool(self.waiting or self.waiting_deferred)

    def flow_of(self, customer: CustomerName) -> Flow:
        """Give the flow of a customer."""
        flow = self.known.get(customer)
        if flow is None:
            flow = self._open(customer)
            self.known[customer] = flow
        return flow

    def line_of(self, flow: Flow, now: Seconds) -> Line:
        """Give the line in which the customer's next request stands."""
        if flow.meter is None or flow.is_within_share(now):
            return flow.line
        own = self.lines[False, flow.line.priority_class.name]
        return max(own, self.common, key=_rank)

    def add(self, entry: Entry) -> None:
        """Let a request wait behind the others of its customer."""
        entry.flow.append(entry)
        self._count_in(entry.flow)

    def restore(self, entry: Entry) -> None:
        """Let a preempted request wait before the others of its customer."""
        entry.flow.restore(entry)
        self._count_in(entry.flow)

    def remove(self, entry: Entry, state: State) -> None:
        """Take a request out of the waiting ones."""
        flow = entry.flow
        flow.remove(entry, state)
        if flow.line.is_deferrable:
            self.waiting_deferred -= 1
        else:
            self.waiting -= 1
        if not flow.waiting:
            self._flows_beside(flow).pop(flow.customer, None)

    def next_turn(
        self,
        now: Seconds,
        *,
        is_long_allowed: bool,
        is_deferred_allowed: bool,
    ) -> Turn | None:
        """Choose the request that starts next.

        A class that has had less than its least share goes first, then the
        classes by rank; within a class, customers far ahead of their paid
        shares go last, and the one that was served least goes first.

        Parameters
        ----------
        now
            The time.
        is_long_allowed
            Whether a long operation may start.
        is_deferred_allowed
            Whether a request of a deferrable class may start.

        Returns
        -------
        Turn or None
            None where nothing that may start waits.
        """
        owed = [line for line in self.guaranteed if line.is_owed(now)]
        if owed:
            flows = (*self.active.values(), *self.deferred.values())
            turn = self._first(flows, now, is_long_allowed, owed)
            if turn is not None:
                return turn
        flows = self.active.values()
        turn = self._first(flows, now, is_long_allowed, self.all_lines)
        if turn is None and is_deferred_allowed:
            flows = self.deferred.values()
            turn = self._first(flows, now, is_long_allowed, self.all_lines)
        return turn

    def start(self, turn: Turn, expected: Seconds, now: Seconds) -> None:
        """Charge a run to its customer and class as it starts.

        Parameters
        ----------
        turn
            The choice of ``next_turn``.
        expected
            The run time to charge, in seconds.
        now
            The time.
        """
        entry, line = turn
        flow = entry.flow
        entry.line = line
        entry.started = now
        entry.expected = expected
        entry.is_paid = flow.is_within_share(now)
        entry.is_lent = not (entry.is_paid or line.is_owed(now))
        line.turn = flow.turn_in(line)
        flow.turns[line] = line.turn + expected / _weight(flow, line)
        if entry.is_paid:
            flow.paid_running += 1
            flow.meter.charge(expected, now)
        if line.least is not None:
            line.least.charge(expected, now)
        self.remove(entry, State.RUNNING)

    def settle(self, entry: Entry, now: Seconds) -> None:
        """Correct the charges of a run that has ended."""
        flow = entry.flow
        line = entry.line
        difference = now - entry.started - entry.expected
        flow.turns[line] = flow.turn_in(line) + difference / _weight(flow, line)
        if entry.is_paid:
            flow.paid_running -= 1
            flow.meter.correct(difference)
        if line.least is not None:
            line.least.correct(difference)

    def entitled_waiting(self, now: Seconds, is_long_allowed: bool) -> int:
        """Count the waiting requests for which lent slots are taken back."""
        return sum(
            min(flow.waiting, max(flow.paid_slots - flow.paid_running, 0))
            for flow in self.active.values()
            if flow.line.rank < self.common.rank
            and flow.is_within_share(now)
            and flow.head(is_long_allowed)
        )

    def _open(self, customer: CustomerName) -> Flow:
        share = self.settings.shares.get(customer)
        if share is None:
            return Flow(customer, self.common, 0, self.slots)
        line = self.lines[True, share.priority_class]
        return Flow(customer, line, share.share, self.slots)

    def _flows_beside(self, flow: Flow) -> dict[CustomerName, Flow]:
        return self.deferred if flow.line.is_deferrable else self.active

    def _count_in(self, flow: Flow) -> None:
        self._flows_beside(flow)[flow.customer] = flow
        if flow.line.is_deferrable:
            self.waiting_deferred += 1
        else:
            self.waiting += 1

    def _first(
        self,
        flows: Iterable[Flow],
        now: Seconds,
        is_long_allowed: bool,
        lines: Collection[Line],
    ) -> Turn | None:
        best = None
        best_place = LAST_PLACE
        for flow in flows:
            line = self.line_of(flow, now)
            if line not in lines:
                continue
            place = flow.place_in(line, now)
            if place >= best_place:
                continue
            entry = flow.head(is_long_allowed)
            if entry is not None:
                best = Turn(entry, line)
                best_place = place
        return best


def _rank(line: Line) -> Rank:
    return line.rank


def _weight(flow: Flow, line: Line) -> float:
    return flow.weight if line.is_paid else 1
