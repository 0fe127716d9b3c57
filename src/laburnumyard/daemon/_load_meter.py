"""Measures the load on key ranges, for the planner's load reports."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from laburnumyard.clocks import MILLISECONDS_PER_SECOND
from laburnumyard.core.ids import KeyHash, Seconds, ServiceName
from laburnumyard.core.routing_table import RoutingTable
from laburnumyard.schema._generated.messages import (
    LoadReport,
    OwnedRange,
    RangeLoad,
)

# One of so many requests is counted by its key.
SAMPLE_EVERY_REQUESTS = 4
# Bounds the keys counted in one range between two reports.
MAX_KEYS_PER_RANGE = 512


@dataclass(slots=True)
class _RangeMeter:
    """The load on one range since the last report."""

    key_range: OwnedRange
    requests: int = 0
    busy: float = 0
    keys: Counter[KeyHash] = field(default_factory=Counter)

    def record(self, key_hash: KeyHash, busy: Seconds) -> None:
        """Add one run."""
        self.requests += 1
        self.busy += busy
        is_sampled = self.requests % SAMPLE_EVERY_REQUESTS == 0
        if is_sampled and (
            key_hash in self.keys or len(self.keys) < MAX_KEYS_PER_RANGE
        ):
            self.keys[key_hash] += SAMPLE_EVERY_REQUESTS

    def load(self) -> RangeLoad:
        """Return the range's entry in a report."""
        hot_key, hot_requests = KeyHash(0), 0
        if self.keys:
            hot_key, hot_requests = self.keys.most_common(1)[0]
        return RangeLoad(
            start=self.key_range.start,
            last=self.key_range.last,
            requests=self.requests,
            busy_ms=int(self.busy * MILLISECONDS_PER_SECOND),
            hot_key=hot_key,
            hot_requests=min(hot_requests, self.requests),
        )


class LoadMeter:
    """Accumulates the load on each range between two reports."""

    def __init__(self) -> None:
        """Initialise with no load."""
        self.ranges: defaultdict[ServiceName, dict[int, _RangeMeter]] = (
            defaultdict(dict)
        )

    def record(
        self,
        table: RoutingTable,
        key_hash: KeyHash,
        busy: Seconds,
    ) -> None:
        """Add one run.

        Parameters
        ----------
        table
            Routing table of the key's service.
        key_hash
            Hash of the key.
        busy
            How long the run held a slot, in seconds.
        """
        key_range = table.range_of(key_hash)
        if key_range is None:
            return
        meters = self.ranges[table.service]
        meter = meters.get(key_range.start)
        if meter is None:
            meter = _RangeMeter(key_range)
            meters[key_range.start] = meter
        meter.record(key_hash, busy)

    def pop_reports(
        self,
        is_due: Callable[[ServiceName], bool] | None = None,
    ) -> tuple[LoadReport, ...]:
        """Return the reports that are due, and reset their services.

        Parameters
        ----------
        is_due
            Whether a service's report is due; all are due without it.
        """
        due = [
            service
            for service in self.ranges
            if is_due is None or is_due(service)
        ]
        return tuple(
            LoadReport(
                service,
                tuple(
                    meter.load() for meter in self.ranges.pop(service).values()
                ),
            )
            for service in due
        )
