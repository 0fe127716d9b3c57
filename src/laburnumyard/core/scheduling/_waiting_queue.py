"""Waiting requests, indexed by rank and by the owner of their key."""

import math
from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import merge
from itertools import count
from operator import attrgetter
from typing import Protocol

from laburnumyard.core.ids import Seconds, ShardKey, TargetId
from laburnumyard.core.scheduling._work import OrderClass, Work, WorkId

# Lane of requests that any target may serve; no target has an empty id.
ANY_TARGET = TargetId('')
LaneId = TargetId | None


class Destinations(Protocol):
    """Lookup of the target that holds a key."""

    def owner(self, key: ShardKey, now: Seconds) -> TargetId | None:
        """Return the target that holds a key now, None while none does."""

    def destination(self, key: ShardKey) -> TargetId | None:
        """Return the target that holds a key, or is about to."""


@dataclass(slots=True)
class Demand:
    """Number of requests and the run time that they need."""

    requests: int = 0
    seconds: float = 0

    def add(self, seconds: float) -> None:
        """Add a request."""
        self.requests += 1
        self.seconds += seconds

    def subtract(self, seconds: float) -> None:
        """Subtract a request; without requests the rounding error ends."""
        self.requests -= 1
        self.seconds = self.seconds - seconds if self.requests else float(0)


@dataclass(slots=True)
class Lane:
    """Requests that wait for the same target, or for any target.

    Attributes
    ----------
    works
        The requests in the order in which they are served.
    demands
        Demand of each class; there are a few classes, whatever the number of
        requests.
    """

    works: list[Work] = field(default_factory=list)
    demands: dict[OrderClass, Demand] = field(default_factory=dict)

    def add(self, work: Work) -> None:
        """Insert a request."""
        insort(self.works, work, key=attrgetter('order'))
        self.demands.setdefault(work.order_class, Demand()).add(work.cost)

    def remove(self, work: Work) -> None:
        """Remove a request of the lane."""
        del self.works[self.position(work)]
        demand = self.demands[work.order_class]
        demand.subtract(work.cost)
        if not demand.requests:
            self.demands.pop(work.order_class)

    def position(self, work: Work) -> int:
        """Return how many requests of the lane are served before another."""
        return bisect_left(self.works, work.order, key=attrgetter('order'))

    def ahead_of(self, work: Work) -> Demand:
        """Return what would be served before a request that is not queued."""
        ahead = Demand()
        for order_class, demand in self.demands.items():
            if order_class <= work.order_class:
                ahead.requests += demand.requests
                ahead.seconds += demand.seconds
        # After a takeover, requests arrive that have waited elsewhere.
        for later in self.works[self.position_of_new(work) :]:
            if later.order_class != work.order_class:
                break
            ahead.subtract(later.cost)
        return ahead

    def position_of_new(self, work: Work) -> int:
        """Return the place of a request behind those that arrived with it."""
        order = (*work.order_class, work.arrived_at, math.inf)
        return bisect_left(self.works, order, key=attrgetter('order'))


EMPTY_LANE = Lane()


class WaitingQueue:
    """Waiting requests of one service.

    A request for a key waits in the lane of the target that holds the key or
    is about to. All others wait in one lane.

    Parameters
    ----------
    placement
        The owners of keys; None if any target may serve any request.

    Attributes
    ----------
    lanes
        The lanes with requests.
    total
        Demand of all lanes.
    version
        Version of the placement for which the lanes were built.
    """

    def __init__(self, placement: Destinations | None) -> None:
        """Create an empty queue."""
        self.placement = placement
        self.lanes: dict[LaneId, Lane] = {}
        self.by_id: dict[WorkId, Work] = {}
        self.total = Demand()
        self.version = self.placement_version()
        self.numbers = count()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.by_id)

    def __iter__(self) -> Iterator[Work]:
        """Yield all requests in the order in which they are served."""
        lanes = [lane.works for lane in self.lanes.values()]
        return merge(*lanes, key=attrgetter('order'))

    def placement_version(self) -> int:
        """Return the version of the assignment, 0 if it never changes."""
        return getattr(self.placement, 'version', 0)

    def lane_of(self, work: Work) -> LaneId:
        """Return the lane in which a request has to wait."""
        if work.key is None or self.placement is None:
            return ANY_TARGET
        return self.placement.destination(work.key)

    def lane(self, lane_id: LaneId) -> Lane:
        """Return a lane, which must not be changed through this."""
        return self.lanes.get(lane_id, EMPTY_LANE)

    def add(self, work: Work) -> None:
        """Insert a request behind those of its order."""
        work.order = (*work.order_class, work.arrived_at, next(self.numbers))
        self.by_id[work.work_id] = work
        self.total.add(work.cost)
        self._enter(work)

    def remove(self, work: Work) -> None:
        """Remove a waiting request."""
        self.by_id.pop(work.work_id)
        self.total.subtract(work.cost)
        lane = self.lanes[work.lane]
        lane.remove(work)
        if not lane.works:
            self.lanes.pop(work.lane)

    def follow_owners(self) -> bool:
        """Rebuild the lanes if owners have changed; return whether they did."""
        version = self.placement_version()
        if version == self.version:
            return False
        self.version = version
        self.lanes = {}
        for work in self.by_id.values():
            self._enter(work)
        return True

    def candidates(self, target: TargetId) -> Iterator[Work]:
        """Yield what a target may serve in order; not while it is changed."""
        own = self.lanes.get(target)
        common = self.lanes.get(ANY_TARGET)
        if own is None or common is None:
            return iter((own or common or EMPTY_LANE).works)
        return merge(own.works, common.works, key=attrgetter('order'))

    def _enter(self, work: Work) -> None:
        work.lane = self.lane_of(work)
        self.lanes.setdefault(work.lane, Lane()).add(work)
