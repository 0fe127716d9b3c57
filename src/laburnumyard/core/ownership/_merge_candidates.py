"""Finds adjacent ranges that can be merged."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._load_table import SmoothedLoad
from laburnumyard.core.ownership._service_plan import ServicePlan


@dataclass(frozen=True, slots=True)
class AdjacentRanges:
    """Two adjacent ranges that were split off one initial range.

    Parameters
    ----------
    left, right
        The loads of the ranges, in order of the hash space.
    """

    left: SmoothedLoad
    right: SmoothedLoad

    @property
    def smaller(self) -> SmoothedLoad:
        """The range that covers fewer hashes."""
        return min(self.left, self.right, key=_range_size)

    @property
    def larger(self) -> SmoothedLoad:
        """The range that covers more hashes."""
        return self.right if self.smaller is self.left else self.left


class AdjacentRangeFinder:
    """Finds adjacent ranges that together fit one initial range.

    Parameters
    ----------
    plan
        Determines the size of the initial ranges.
    """

    def __init__(self, plan: ServicePlan) -> None:
        """Start at the beginning of the hash space."""
        self.key_ranges = [
            (one.span, _initial_range_size(one.span, len(one.targets), plan))
            for one in plan.key_ranges
        ]
        self.index = 0
        self.previous: SmoothedLoad | None = None

    def find(
        self, smoothed_loads: Iterable[SmoothedLoad]
    ) -> Iterator[AdjacentRanges]:
        """Yield the adjacent ranges among the next ranges of the hash space."""
        for range_load in smoothed_loads:
            left = self.previous
            self.previous = range_load
            if left is not None and self._fits_initial_range(left, range_load):
                yield AdjacentRanges(left, range_load)

    def _fits_initial_range(
        self, left: SmoothedLoad, range_load: SmoothedLoad
    ) -> bool:
        if left.part.stop != range_load.part.start:
            return False
        size = range_load.part.stop - left.part.start
        return size <= self._initial_size_at(range_load.part.start)

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
    """Return for each smaller range, by its start, the larger neighbour.

    A fixed choice keeps a range between neighbours of different owners from
    moving back and forth.
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


def _range_size(range_load: SmoothedLoad) -> int:
    return range_load.part.stop - range_load.part.start
