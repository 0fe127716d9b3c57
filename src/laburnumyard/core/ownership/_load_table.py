"""The load of each range, smoothed over time."""

from bisect import bisect_right
from dataclasses import dataclass, field

from laburnumyard.core.ids import KeyHash, Seconds, TargetName
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._ranges import hash_range
from laburnumyard.schema._generated.messages import (
    Assignment,
    LoadReport,
    OwnedRange,
    RangeLoad,
)

HALF_LIFE_S = 10.0
# With rare rounds the half-life covers this many of them, so that one report
# more or less in a round has little effect.
ROUNDS_PER_HALF_LIFE = 2
MS_PER_SECOND = 1000
# Reports on further ranges are dropped.
MAX_REPORTED_RANGES = 262_144


@dataclass(slots=True)
class SmoothedLoad:
    """The smoothed load of one range.

    Parameters
    ----------
    part
        The range.
    target
        Its owner.
    busy
        The average number of slots that the range keeps busy.
    hot_key
        The hash of its busiest key.
    hot_key_busy
        The average number of slots that this key keeps busy.
    smoothed_at
        When the load was last smoothed, in seconds.
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
        """Add the load that one dispatcher saw."""
        self.busy_ms += load.busy_ms
        self.requests += load.requests
        key = KeyHash(load.hot_key)
        self.keys[key] = self.keys.get(key, 0) + load.hot_requests

    def merge(self, other: '_ReportTotal') -> None:
        """Add the total of a range that is now part of this one."""
        self.busy_ms += other.busy_ms
        self.requests += other.requests
        for key, requests in other.keys.items():
            self.keys[key] = self.keys.get(key, 0) + requests

    def busiest_key(self, part: HashRange) -> KeyHash | None:
        """Return the busiest key of a range; the lowest hash wins ties."""
        ranked = [
            (-requests, key)
            for key, requests in self.keys.items()
            if requests and part.start <= key < part.stop
        ]
        return min(ranked)[1] if ranked else None

    def share(self, key: KeyHash | None) -> float:
        """Return the share of the requests that a key has, at most 1."""
        if key is None or not self.requests:
            return 0
        return min(1, self.keys.get(key, 0) / self.requests)


class LoadTable:
    """Sums and smooths the load reports of dispatchers.

    The ranges of a service are processed in slices, so that each step is short
    however many ranges there are.
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
        """Add the load that a dispatcher saw since its last report."""
        for load in report.ranges:
            total = self._total_for(load.start)
            if total is not None:
                total.add(load)

    def begin_round(self, assignment: Assignment, now: Seconds) -> None:
        """Start a smoothing round over the ranges of an assignment.

        Parameters
        ----------
        assignment
            The assignment. A report on a range that has been split or merged
            since counts for the range that contains its start.
        now
            The current time, in seconds.
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
        """Smooth the reported load of a slice of the ranges.

        Parameters
        ----------
        part
            The slice of the ranges, which are in order of the hash space.
        now
            The current time, in seconds.

        Returns
        -------
        list of Heat
            One for each range.
        """
        smoothed_loads = [
            self._smooth(owned, now) for owned in self.ranges[part]
        ]
        self.current_round_loads.update(
            (range_load.part.start, range_load) for range_load in smoothed_loads
        )
        return smoothed_loads

    def end_round(self) -> None:
        """End the round and forget ranges that no longer exist."""
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
        range_load = _same_range(known, owned)
        range_load.smoothed_at = now
        if since is None or since >= now:
            return range_load
        elapsed = now - since
        half_life = max(HALF_LIFE_S, ROUNDS_PER_HALF_LIFE * elapsed)
        weight = 1 - 2 ** (-elapsed / half_life)
        busy_ms = total.busy_ms if total else 0
        range_load.busy += weight * (
            busy_ms / MS_PER_SECOND / elapsed - range_load.busy
        )
        if total:
            range_load.hot_key = total.busiest_key(range_load.part)
            range_load.hot_key_busy = range_load.busy * total.share(
                range_load.hot_key
            )
        return range_load


def _same_range(known: SmoothedLoad | None, owned: OwnedRange) -> SmoothedLoad:
    """Return the known load of a range, without its busiest key."""
    target = TargetName(owned.target)
    if known is None:
        return SmoothedLoad(hash_range(owned), target)
    is_same_range = known.part.stop == owned.last + 1
    part = known.part if is_same_range else hash_range(owned)
    return SmoothedLoad(part, target, known.busy)
