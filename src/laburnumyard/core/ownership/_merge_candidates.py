"""Which neighbouring ranges can become one again."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._load_table import Heat
from laburnumyard.core.ownership._service_plan import ServicePlan


@dataclass(frozen=True, slots=True)
class Neighbours:
    """Two neighbouring ranges that have been split off one.

    Parameters
    ----------
    left, right
        The ranges.
    """

    left: Heat
    right: Heat

    @property
    def small(self) -> Heat:
        """The smaller one."""
        return min(self.left, self.right, key=_size)

    @property
    def large(self) -> Heat:
        """The larger one."""
        return self.right if self.small is self.left else self.left


class NeighbourFinder:
    """Finds neighbours that are together no larger than one first range.

    Parameters
    ----------
    plan
        Gives the size of the first ranges.
    """

    def __init__(self, plan: ServicePlan) -> None:
        """Start before the first range."""
        self.key_ranges = [
            (one.span, _first_size(one.span, len(one.targets), plan))
            for one in plan.key_ranges
        ]
        self.place = 0
        self.last: Heat | None = None

    def find(self, heats: Iterable[Heat]) -> Iterator[Neighbours]:
        """Yield what is found in the next ranges, in order."""
        for heat in heats:
            left = self.last
            self.last = heat
            if left is not None and self._fits(left, heat):
                yield Neighbours(left, heat)

    def _fits(self, left: Heat, heat: Heat) -> bool:
        if left.part.stop != heat.part.start:
            return False
        size = heat.part.stop - left.part.start
        return size <= self._size_at(heat.part.start)

    def _size_at(self, start: int) -> int:
        while self.place < len(self.key_ranges):
            span, size = self.key_ranges[self.place]
            if start < span.stop:
                return size if start >= span.start else 0
            self.place += 1
        return 0


def nearest_large(pairs: Iterable[Neighbours]) -> dict[int, Neighbours]:
    """Return each small range with the larger of its neighbours.

    Between two neighbours of different owners it would otherwise go to and
    fro.
    """
    chosen: dict[int, Neighbours] = {}
    for pair in pairs:
        start = pair.small.part.start
        other = chosen.get(start)
        if other is None or _size(pair.large) > _size(other.large):
            chosen[start] = pair
    return chosen


def _first_size(span: HashRange, targets: int, plan: ServicePlan) -> int:
    return (span.stop - span.start) // (targets * plan.ranges_per_target)


def _size(heat: Heat) -> int:
    return heat.part.stop - heat.part.start
