"""Counters, gauges and latency summaries in the Prometheus text format."""

from collections import Counter, deque
from collections.abc import Callable, Iterator, Mapping
from statistics import quantiles

PERMILLE = 1000
QUANTILES = (0.5, 0.9, 0.99, 0.999)
# Latencies per service from which quantiles are computed.
WINDOW_SAMPLES = 2048
# Label values such as service and target names are external input; series
# beyond this limit are counted together.
MAX_SERIES = 2000
OTHER_LABEL = 'other'

Series = tuple[tuple[str, str], ...]
ReadGauge = Callable[[], Mapping[str, float]]


class LatencySummary:
    """Quantiles of the most recent latencies of a service.

    The standard library computes them: gateways are deployed where no compiler
    is, and the histogram library has no binary for each processor.
    """

    def __init__(self) -> None:
        """Create a summary without samples."""
        self.count = 0
        self.recent: deque[float] = deque(maxlen=WINDOW_SAMPLES)

    def record(self, seconds: float) -> None:
        """Add a latency, in seconds."""
        self.count += 1
        self.recent.append(seconds)

    def quantiles(self) -> list[tuple[float, float]]:
        """Return pairs of quantile and latency, in seconds.

        Raises
        ------
        IndexError
            If there is no sample; record one first.
        """
        # A single sample is all quantiles; the library wants two.
        samples = [*self.recent, self.recent[-1]]
        cuts = quantiles(samples, n=PERMILLE, method='inclusive')
        return [
            (quantile, cuts[round(quantile * PERMILLE) - 1])
            for quantile in QUANTILES
        ]


class Metrics:
    """Counters, gauges and latency summaries of one process."""

    def __init__(self) -> None:
        """Create an empty set of metrics."""
        self.counters: Counter[tuple[str, Series]] = Counter()
        self.gauges: dict[tuple[str, Series], float] = {}
        self.latencies: dict[str, LatencySummary] = {}
        self.watched: dict[tuple[str, str], ReadGauge] = {}

    def watch(self, name: str, label: str, read: ReadGauge) -> None:
        """Show the current values of a gauge.

        Parameters
        ----------
        name
            Metric name without prefix.
        label
            Label that distinguishes the values.
        read
            Returns the values by the text of the label.
        """
        self.watched[name, label] = read

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

    def set_gauge(self, name: str, level: float, **labels: object) -> None:
        """Set the current level of a gauge.

        Parameters
        ----------
        name
            Metric name without prefix.
        level
            Current level.
        labels
            Labels of the series; gauges beyond the limit are not kept.
        """
        series = tuple((label, str(text)) for label, text in labels.items())
        key = (name, series)
        if key in self.gauges or len(self.gauges) < MAX_SERIES:
            self.gauges[key] = level

    def observe(self, service: str, seconds: float) -> None:
        """Record the latency of a request to a service, in seconds."""
        if service not in self.latencies:
            self.latencies[service] = LatencySummary()
        self.latencies[service].record(seconds)

    def render(self) -> str:
        """Return all metrics as text, one line per series."""
        lines = (
            *self._counter_lines(),
            *self._gauge_lines(),
            *self._latency_lines(),
        )
        return '\n'.join([*lines, ''])

    def _counter_lines(self) -> Iterator[str]:
        for (name, series), number in sorted(self.counters.items()):
            yield f'laburnumyard_{name}{_labels(series)} {number}'

    def _gauge_lines(self) -> Iterator[str]:
        for (name, series), level in sorted(self.gauges.items()):
            yield f'laburnumyard_{name}{_labels(series)} {level}'
        for (name, label), read in sorted(self.watched.items()):
            for text, number in read().items():
                labels = _labels(((label, text),))
                yield f'laburnumyard_{name}{labels} {number}'

    def _latency_lines(self) -> Iterator[str]:
        name = 'laburnumyard_request_duration_seconds'
        for service, summary in sorted(self.latencies.items()):
            for quantile, latency in summary.quantiles():
                labels = _labels(
                    (('service', service), ('quantile', str(quantile)))
                )
                yield f'{name}{labels} {latency}'
            labels = _labels((('service', service),))
            yield f'{name}_count{labels} {summary.count}'


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
