"""Recent demand for the targets of a service, by target and rank."""

import math
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

from laburnumyard.core.ids import Seconds, TargetId
from laburnumyard.core.scheduling._waiting_queue import ANY_TARGET, LaneId

# Time over which the demand is averaged, in seconds: long enough to even out
# random arrivals, and shorter than a burst.
DEMAND_PERIOD_S = 1.0


@dataclass(slots=True)
class DemandRate:
    """Moving mean of the run time that is needed per second.

    Attributes
    ----------
    mean
        The mean when it was last updated.
    at
        When that was, in seconds.
    """

    mean: float = 0
    at: float = 0

    def add(self, seconds: float, now: Seconds) -> None:
        """Add the run time of a request that arrives now."""
        self.mean = self.per_second(now) + seconds / DEMAND_PERIOD_S
        self.at = now

    def per_second(self, now: Seconds) -> float:
        """Return the run time that is needed per second."""
        return self.mean * math.exp((self.at - now) / DEMAND_PERIOD_S)


@dataclass(slots=True)
class DemandRates:
    """Demand of first comers.

    Attributes
    ----------
    lanes
        Demand by the target that a request is for, and by rank.
    """

    lanes: dict[LaneId, dict[int, DemandRate]] = field(default_factory=dict)

    def add(
        self, lane: LaneId, rank: int, seconds: float, now: Seconds
    ) -> None:
        """Count the run time of a request that arrives now."""
        ranks = self.lanes.setdefault(lane, {})
        ranks.setdefault(rank, DemandRate()).add(seconds, now)

    def total(self, lane: LaneId, now: Seconds) -> float:
        """Return the demand of all ranks, in slot seconds per second."""
        return sum(rate.per_second(now) for _, rate in self._rates(lane))

    def more_urgent(self, lane: LaneId, rank: int, now: Seconds) -> float:
        """Return the demand of more urgent ranks than one."""
        return sum(
            rate.per_second(now)
            for other, rate in self._rates(lane)
            if other < rank
        )

    def keep(self, targets: Collection[TargetId]) -> None:
        """Forget all targets but some."""
        self.lanes = {
            lane: ranks
            for lane, ranks in self.lanes.items()
            if lane == ANY_TARGET or lane in targets
        }

    def _rates(self, lane: LaneId) -> Iterator[tuple[int, DemandRate]]:
        return iter(self.lanes.get(lane, {}).items())
