"""Which neighbouring ranges can become one again."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._load_table import SmoothedLoad
from laburnumyard.core.ownership._service_plan import ServicePlan


@dataclass(frozen=True, slots=True)
class AdjacentRanges:
    """Two neighbouring ranges that have been split off one.

    Parameters
    ----------
    left, right
        The ranges.
    """

    left: SmoothedLoad
    right: SmoothedLoad

    @property
    def smaller(self) -> SmoothedLoad:
        """The smaller one."""
        return min(self.left, self.right, key=_range_size)

    @property
    def larger(self) -> SmoothedLoad:
        """The larger one."""
        return self.right if self.smaller is self.left else self.left


class AdjacentRangeFinder:
    """Finds neighbours that are together no larger than one first range.

    Parameters
    ----------
    plan
        Gives the size of the first ranges.
    """

    def __init__(self, plan: ServicePlan) -> None:
        """Start before the first range."""
        self.key_ranges = [
            (one.span, _initial_range_size(one.span, len(one.targets), plan))
            for one in plan.key_ranges
        ]
        self.index = 0
        self.previous: SmoothedLoad | None = None

    def find(
        self, smoothed_loads: Iterable[SmoothedLoad]
    ) -> Iterator[AdjacentRanges]:
        """Yield what is found in the next ranges, in order."""
        for heat in smoothed_loads:
            left = self.previous
            self.previous = heat
            if left is not None and self._fits_initial_range(left, heat):
                yield AdjacentRanges(left, heat)

    def _fits_initial_range(
        self, left: SmoothedLoad, heat: SmoothedLoad
    ) -> bool:
        if left.part.stop != heat.part.start:
            return False
        size = heat.part.stop - left.part.start
        return size <= self._initial_size_at(heat.part.start)

    def _initial_size_at(self, start: int) -> int:
        while self.index < len(self.key_ranges):
            span, size = self.key_ranges[self.index]
            if start < span.stop:
                return size if start >= span.start else 0
            self.index += 1
        return 0


def choose_larger_neighbours(
    pairs: Iterable[AdjacentRanges],
) -> dict[int, AdjacentRanges]:
    """Return each small range with the larger of its neighbours.

    Between two neighbours of different owners it would otherwise go to and
    fro.
    """
    chosen: dict[int, AdjacentRanges] = {}
    for pair in pairs:
        start = pair.smaller.part.start
        other = chosen.get(start)
        if other is None or _range_size(pair.larger) > _range_size(
            other.larger
        ):
            chosen[start] = pair
    return chosen


def _initial_range_size(
    span: HashRange, targets: int, plan: ServicePlan
) -> int:
    return (span.stop - span.start) // (targets * plan.ranges_per_target)


def _range_size(heat: SmoothedLoad) -> int:
    return heat.part.stop - heat.part.start
