"""Counters and latency histograms, shown on the admin address."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

from hdrh.histogram import HdrHistogram

from laburnumyard.core.ids import Seconds

MICROSECONDS_PER_SECOND = 1_000_000
MIN_DURATION_US = 1
MAX_DURATION_S = 300
MAX_DURATION_US = MAX_DURATION_S * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 90, 99, 99.9)


class Metrics:
    """Counters and histograms of one daemon since its start."""

    def __init__(self) -> None:
        """Initialise with no counter and no histogram."""
        self.counts: Counter[str] = Counter()
        self.histograms: dict[str, HdrHistogram] = {}
        # Returns the bytes that callers make the process hold, by holder.
        self.held_bytes: Callable[[], Mapping[str, int]] = dict

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += amount

    def note_cut(self, reason: str) -> None:
        """Count a caller that was cut, as others need what it held."""
        self.count(f'cuts{{reason="{reason}"}}')

    def record(self, name: str, duration: Seconds) -> None:
        """Add a duration in seconds to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_DURATION_US,
                MAX_DURATION_US,
                SIGNIFICANT_DIGITS,
            )
            self.histograms[name] = histogram
        microseconds = int(duration * MICROSECONDS_PER_SECOND)
        histogram.record_value(
            max(MIN_DURATION_US, min(microseconds, MAX_DURATION_US))
        )

    def lines(self) -> Iterator[str]:
        """Yield one ``name value`` line per metric, sorted by name."""
        for name in sorted(self.counts):
            yield f'{name} {self.counts[name]}'
        for holder, size in self.held_bytes().items():
            yield f'held_bytes{{holder="{holder}"}} {size}'
        for name in sorted(self.histograms):
            yield from _histogram_lines(name, self.histograms[name])


def _histogram_lines(name: str, histogram: HdrHistogram) -> Iterator[str]:
    yield f'{name}_count {histogram.get_total_count()}'
    for percentile in PERCENTILES:
        microseconds = histogram.get_value_at_percentile(percentile)
        yield f'{name}_us{{percentile="{percentile}"}} {microseconds}'
