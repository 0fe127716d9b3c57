"""How busy each range keeps its owner, smoothed over time."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from laburnumyard.core.ids import KeyHash, Seconds, TargetName
from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._ranges import hash_range
from laburnumyard.schema._generated.messages import (
    Assignment,
    LoadReport,
    RangeLoad,
)

HALF_LIFE = 10.0
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Heat:
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
    hot_busy
        The slots that this key keeps busy.
    """

    part: HashRange
    target: TargetName
    busy: float = 0
    hot_key: KeyHash | None = None
    hot_busy: float = 0


@dataclass(slots=True)
class _Sum:
    busy_ms: int = 0
    requests: int = 0
    keys: dict[KeyHash, int] = field(default_factory=dict)

    def add(self, load: RangeLoad) -> None:
        """Add what one dispatcher saw."""
        self.busy_ms += load.busy_ms
        self.requests += load.requests
        key = KeyHash(load.hot_key)
        self.keys[key] = self.keys.get(key, 0) + load.hot_requests

    def hottest(self, part: HashRange) -> KeyHash | None:
        """Return the busiest key of a range, the lowest one of equals."""
        ranked = sorted(
            (-requests, key)
            for key, requests in self.keys.items()
            if requests and key in part
        )
        return ranked[0][1] if ranked else None

    def share(self, key: KeyHash | None) -> float:
        """Return the share of a key in the requests, at most 1."""
        if key is None or not self.requests:
            return 0
        return min(1, self.keys.get(key, 0) / self.requests)


class LoadTable:
    """Sums the reports of dispatchers and smooths them."""

    def __init__(self) -> None:
        """Start without reports."""
        self.reports: list[RangeLoad] = []
        self.heats: Mapping[int, Heat] = {}
        self.rolled_at: Seconds | None = None

    def record(self, report: LoadReport) -> None:
        """Take in what a dispatcher saw since its last report."""
        self.reports.extend(report.ranges)

    def roll(self, assignment: Assignment, now: Seconds) -> tuple[Heat, ...]:
        """Turn the reports since the last call into smoothed loads.

        Parameters
        ----------
        assignment
            The ranges to report on. A report on a range that has been split
            or merged since counts for the range that contains its start.
        now
            The time.

        Returns
        -------
        tuple of Heat
            One for each range, in order of the hash space.
        """
        elapsed = 0 if self.rolled_at is None else now - self.rolled_at
        self.rolled_at = now
        sums = self._sums(assignment)
        heats = tuple(
            self._smooth(
                Heat(hash_range(owned), TargetName(owned.target)),
                sums.get(owned.start, _Sum()),
                elapsed,
            )
            for owned in assignment.ranges
        )
        self.heats = {heat.part.start: heat for heat in heats}
        return heats

    def _sums(self, assignment: Assignment) -> dict[int, _Sum]:
        sums: dict[int, _Sum] = {}
        ranges = iter(assignment.ranges)
        owned = next(ranges, None)
        for load in sorted(self.reports, key=lambda one: one.start):
            while owned and owned.last < load.start:
                owned = next(ranges, None)
            if owned and owned.start <= load.start:
                sums.setdefault(owned.start, _Sum()).add(load)
        self.reports.clear()
        return sums

    def _smooth(self, empty: Heat, total: _Sum, elapsed: float) -> Heat:
        known = self.heats.get(empty.part.start, empty)
        if elapsed <= 0:
            return Heat(empty.part, empty.target, known.busy)
        weight = 1 - 2 ** (-elapsed / HALF_LIFE)
        busy_now = total.busy_ms / MS_PER_SECOND / elapsed
        busy = known.busy + weight * (busy_now - known.busy)
        hot_key = total.hottest(empty.part)
        return Heat(
            empty.part,
            empty.target,
            busy,
            hot_key,
            busy * total.share(hot_key),
        )
