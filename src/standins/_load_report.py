"""What the callers' load saw."""

from array import array
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

US_PER_S = 1_000_000
MS_PER_US = 0.001
HIGHEST_US = 1000 * US_PER_S
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99, 99.9)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one caller was told about one request.

    Parameters
    ----------
    caller_class
        The name of its class.
    echo
        The caller's own id of the request, in the target's run log too.
    key
        The key.
    ticket
        The ticket, or an empty string.
    status
        The last HTTP status, 0 where the connection broke.
    ran
        The last ``laburnumyard-ran``.
    error
        The last ``laburnumyard-error``.
    sent_s, ended_s
        The loop's clock, in seconds.
    """

    caller_class: str
    echo: str
    key: str
    ticket: str
    status: int
    ran: str
    error: str
    sent_s: float
    ended_s: float


@dataclass(slots=True)
class ClassReport:
    """The counts and latencies of one caller class.

    Parameters
    ----------
    sent
        Requests, whatever their outcome.
    whole
        Complete answers of a target that were the caller's own.
    foreign
        Answers that were incomplete or somebody else's.
    broken
        Connections that ended before the answer.
    timeouts
        Answers that did not arrive in time.
    ran, errors, statuses
        Counts by ``laburnumyard-ran``, ``laburnumyard-error`` and status.
    latencies_s
        The latency of each whole answer.
    """

    sent: int = 0
    whole: int = 0
    foreign: int = 0
    broken: int = 0
    timeouts: int = 0
    ran: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    latencies_s: 'array[float]' = field(default_factory=lambda: array('d'))
    elapsed_s: float = 0

    def histogram(self) -> HdrHistogram:
        """Return the latencies of whole answers, in microseconds."""
        histogram = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
        for latency_s in self.latencies_s:
            histogram.record_value(max(1, int(latency_s * US_PER_S)))
        return histogram

    def lines(self, name: str) -> Iterator[str]:
        """Yield one ``name=value`` line for each figure."""
        for field_name in ('sent', 'whole', 'foreign', 'broken', 'timeouts'):
            count = getattr(self, field_name)
            yield f'{name}.{field_name}={count}'
        yield from _tally(f'{name}.ran', self.ran)
        yield from _tally(f'{name}.error', self.errors)
        yield from _tally(f'{name}.status', self.statuses)
        yield f'{name}.whole_per_s={self.whole_per_s:.0f}'
        histogram = self.histogram()
        for percentile in PERCENTILES:
            value_ms = MS_PER_US * histogram.get_value_at_percentile(percentile)
            yield f'{name}.p{percentile}_ms={value_ms:.3f}'

    @property
    def whole_per_s(self) -> float:
        """Whole answers per second."""
        return self.whole / self.elapsed_s if self.elapsed_s else 0


def _tally(name: str, counts: Counter[Any]) -> Iterator[str]:
    for label, count in sorted(counts.items()):
        yield f'{name}.{label}={count}'


@dataclass(slots=True)
class LoadReport:
    """The reports of all classes."""

    classes: dict[str, ClassReport] = field(default_factory=dict)
    outcomes: list[Outcome] = field(default_factory=list)

    def lines(self) -> Iterator[str]:
        """Yield one ``name=value`` line for each figure of each class."""
        for name, report in self.classes.items():
            yield from report.lines(name)
