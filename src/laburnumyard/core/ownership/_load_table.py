"""How busy each range keeps its owner, smoothed over time."""

from bisect import bisect_right
from dataclasses import dataclass, field

from laburnumyard.core.ids import KeyHash, Seconds, TargetName
from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._ranges import hash_range
from laburnumyard.schema._generated.messages import (
    Assignment,
    LoadReport,
    OwnedRange,
    RangeLoad,
)

HALF_LIFE_S = 10.0
# Where rounds are rare, one report more or less in a round counts for little.
ROUNDS_PER_HALF_LIFE = 2
MS_PER_SECOND = 1000
# Reports on more ranges than this at once are dropped.
MAX_REPORTED_RANGES = 262_144


@dataclass(slots=True)
class SmoothedLoad:
    """How busy one range keeps its owner.

    Parameters
    ----------
    part
        The range.
    target
        Its owner.
    busy
        The slots that it keeps busy on average.
    hot_key
        The hash of its busiest key.
    hot_key_busy
        The slots that this key keeps busy.
    smoothed_at
        When it was last worked out, in seconds.
    """

    part: HashRange
    target: TargetName
    busy: float = 0
    hot_key: KeyHash | None = None
    hot_key_busy: float = 0
    smoothed_at: Seconds | None = None


@dataclass(slots=True)
class _ReportTotal:
    busy_ms: int = 0
    requests: int = 0
    keys: dict[KeyHash, int] = field(default_factory=dict)

    def add(self, load: RangeLoad) -> None:
        """Add what one dispatcher saw."""
        self.busy_ms += load.busy_ms
        self.requests += load.requests
        key = KeyHash(load.hot_key)
        self.keys[key] = self.keys.get(key, 0) + load.hot_requests

    def merge(self, other: '_ReportTotal') -> None:
        """Add the sum of a range that has become a part of this one."""
        self.busy_ms += other.busy_ms
        self.requests += other.requests
        for key, requests in other.keys.items():
            self.keys[key] = self.keys.get(key, 0) + requests

    def busiest_key(self, part: HashRange) -> KeyHash | None:
        """Return the busiest key of a range, the lowest one of equals."""
        ranked = [
            (-requests, key)
            for key, requests in self.keys.items()
            if requests and part.start <= key < part.stop
        ]
        return min(ranked)[1] if ranked else None

    def share(self, key: KeyHash | None) -> float:
        """Return the share of a key in the requests, at most 1."""
        if key is None or not self.requests:
            return 0
        return min(1, self.keys.get(key, 0) / self.requests)


class LoadTable:
    """Sums the reports of dispatchers and smooths them.

    The ranges of a service are worked through in slices, each in a short time,
    however many there are.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.ranges: tuple[OwnedRange, ...] = ()
        self.starts: list[int] = []
        self.totals: dict[int, _ReportTotal] = {}
        self.smoothed_loads: dict[int, SmoothedLoad] = {}
        self.current_round_loads: dict[int, SmoothedLoad] = {}
        self.round_started_at: Seconds | None = None
        self.previous_round_at: Seconds | None = None

    def record(self, report: LoadReport) -> None:
        """Take in what a dispatcher saw since its last report."""
        for load in report.ranges:
            total = self._total_for(load.start)
            if total is not None:
                total.add(load)

    def begin_round(self, assignment: Assignment, now: Seconds) -> None:
        """Begin to work through the ranges of an assignment.

        Parameters
        ----------
        assignment
            The ranges. A report on one that has been split or merged since
            counts for the range that contains its start.
        now
            The time.
        """
        self.previous_round_at = self.round_started_at
        self.round_started_at = now
        self.smoothed_loads.update(self.current_round_loads)
        self.current_round_loads = {}
        if assignment.ranges is not self.ranges:
            self.ranges = assignment.ranges
            self.starts = [owned.start for owned in assignment.ranges]
        for start in self.totals.keys() - set(self.starts):
            self._merge_into_containing_range(start)

    def smooth(self, part: slice, now: Seconds) -> list[SmoothedLoad]:
        """Turn the reports on some ranges into smoothed loads.

        Parameters
        ----------
        part
            Which ranges, in order of the hash space.
        now
            The time.

        Returns
        -------
        list of Heat
            One for each range.
        """
        smoothed_loads = [
            self._smooth(owned, now) for owned in self.ranges[part]
        ]
        self.current_round_loads.update(
            (heat.part.start, heat) for heat in smoothed_loads
        )
        return smoothed_loads

    def end_round(self) -> None:
        """Forget what is known of ranges that are no more."""
        self.smoothed_loads = self.current_round_loads
        self.current_round_loads = {}

    def _merge_into_containing_range(self, start: int) -> None:
        total = self.totals.pop(start)
        place = bisect_right(self.starts, start) - 1
        if place < 0 or start > self.ranges[place].last:
            return
        whole = self._total_for(self.starts[place])
        if whole is not None:
            whole.merge(total)

    def _total_for(self, start: int) -> _ReportTotal | None:
        total = self.totals.get(start)
        if total is None and len(self.totals) < MAX_REPORTED_RANGES:
            total = _ReportTotal()
            self.totals[start] = total
        return total

    def _smooth(self, owned: OwnedRange, now: Seconds) -> SmoothedLoad:
        known = self.smoothed_loads.get(owned.start)
        since = known.smoothed_at if known else self.previous_round_at
        total = self.totals.pop(owned.start, None)
        heat = _same_range(known, owned)
        heat.smoothed_at = now
        if since is None or since >= now:
            return heat
        elapsed = now - since
        half_life = max(HALF_LIFE_S, ROUNDS_PER_HALF_LIFE * elapsed)
        weight = 1 - 2 ** (-elapsed / half_life)
        busy_ms = total.busy_ms if total else 0
        heat.busy += weight * (busy_ms / MS_PER_SECOND / elapsed - heat.busy)
        if total:
            heat.hot_key = total.busiest_key(heat.part)
            heat.hot_key_busy = heat.busy * total.share(heat.hot_key)
        return heat


def _same_range(known: SmoothedLoad | None, owned: OwnedRange) -> SmoothedLoad:
    """Return what is known of a range, without its busiest key."""
    target = TargetName(owned.target)
    if known is None:
        return SmoothedLoad(hash_range(owned), target)
    is_same = known.part.stop == owned.last + 1
    part = known.part if is_same else hash_range(owned)
    return SmoothedLoad(part, target, known.busy)
