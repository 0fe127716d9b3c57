"""Counters and latency histograms in the Prometheus text format."""

from collections import Counter
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

MS_PER_SECOND = 1000
# Histogram limit; longer latencies, beyond any deadline, count as this one.
MAX_LATENCY_MS = 60_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 90, 99, 99.9)
# Label values such as service and target names are external input; series
# beyond this limit are counted together.
MAX_SERIES = 2000
OTHER_LABEL = 'other'

Series = tuple[tuple[str, str], ...]


class Metrics:
    """Counters and latency histograms of one process."""

    def __init__(self) -> None:
        """Create an empty set of metrics."""
        self.counters: Counter[tuple[str, Series]] = Counter()
        self.latencies: dict[str, HdrHistogram] = {}

    def count(self, name: str, **labels: object) -> None:
        """Increment a counter.

        Parameters
        ----------
        name
            Metric name without prefix; it ends in ``_total``.
        labels
            Labels of the series.
        """
        series = tuple((label, str(text)) for label, text in labels.items())
        key = (name, series)
        if key not in self.counters and len(self.counters) >= MAX_SERIES:
            key = (name, tuple((label, OTHER_LABEL) for label in labels))
        self.counters[key] += 1

    def observe(self, service: str, seconds: float) -> None:
        """Record the latency of a request to a service, in seconds."""
        histogram = self.latencies.get(service)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
            self.latencies[service] = histogram
        milliseconds = max(1, min(MAX_LATENCY_MS, int(seconds * MS_PER_SECOND)))
        histogram.record_value(milliseconds)

    def render(self) -> str:
        """Return all metrics as text, one line per series."""
        return '\n'.join([*self._counter_lines(), *self._latency_lines(), ''])

    def _counter_lines(self) -> Iterator[str]:
        for (name, series), number in sorted(self.counters.items()):
            yield f'laburnumyard_{name}{_labels(series)} {number}'

    def _latency_lines(self) -> Iterator[str]:
        name = 'laburnumyard_request_duration_seconds'
        for service, histogram in sorted(self.latencies.items()):
            for percentile in PERCENTILES:
                reached = histogram.get_value_at_percentile(percentile)
                labels = _labels(
                    (
                        ('service', service),
                        ('quantile', str(percentile / 100)),
                    )
                )
                yield f'{name}{labels} {reached / MS_PER_SECOND}'
            count = histogram.get_total_count()
            labels = _labels((('service', service),))
            yield f'{name}_count{labels} {count}'


def _labels(series: Series) -> str:
    if not series:
        return ''
    pairs = ','.join(f'{label}="{_escape(text)}"' for label, text in series)
    return f'{{{pairs}}}'


def _escape(text: str) -> str:
    printable = ''.join(
        letter if letter.isprintable() else '?' for letter in text
    )
    return printable.replace('\\', r'\\').replace('"', r'\"')


METRICS = Metrics()
