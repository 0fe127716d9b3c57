"""How long operations run, from the daemon's own histograms."""

from hdrh.histogram import HdrHistogram

from laburnumyard.core.ids import Seconds

MICROSECONDS = 1_000_000
LONGEST_US = 60 * MICROSECONDS
SIGNIFICANT_DIGITS = 2
MEDIAN_PERCENT = 50
# Samples before a histogram is believed.
LEAST_SAMPLES = 8
# Samples after which a histogram makes room for the next one.
WINDOW_SAMPLES = 1024
# Samples after which a median is worked out anew, at the latest.
UPDATE_SAMPLES = 128
# A long operation's median is this many times that of the shortest one.
LONG_FACTOR = 5
# An operation counts as usual with this part of the requests.
USUAL_PART = 0.05
# Distinct operations that are told apart; the others are taken as one.
OPERATIONS_LIMIT = 64
OTHER_OPERATIONS = ''


class OperationTimes:
    """Run times per operation of one service.

    All queues of a daemon for the same service share one instance.
    """

    def __init__(self) -> None:
        """Start without any sample."""
        self.recent: dict[str, _Recent] = {}
        self.samples = 0
        self.total: float = 0
        self.shortest: float = 0

    def record(self, operation: str, run_time: Seconds) -> None:
        """Take in the run time of one answered request.

        Parameters
        ----------
        operation
            The operation that ran.
        run_time
            From the send to the whole answer, in seconds.
        """
        recent = self._recent_of(operation)
        self._add(run_time)
        if recent.record(run_time):
            self._update_shortest()

    def record_cut_off(self, run_time: Seconds) -> None:
        """Take in for how long a run without an answer took a slot."""
        self._add(run_time)

    def typical(self, operation: str) -> Seconds:
        """Give the median run time; 0 while too little is known."""
        recent = self.recent.get(operation)
        return Seconds(0) if recent is None else recent.median

    def mean(self) -> Seconds:
        """Give the mean time that a run takes a slot, 0 while unknown."""
        if self.samples < LEAST_SAMPLES:
            return Seconds(0)
        return Seconds(self.total / self.samples)

    def is_long(self, operation: str) -> bool:
        """Tell whether the operation runs far longer than the usual ones."""
        longest_usual = LONG_FACTOR * self.shortest
        return 0 < longest_usual < self.typical(operation)

    def _recent_of(self, operation: str) -> '_Recent':
        recent = self.recent.get(operation)
        if recent is not None:
            return recent
        if len(self.recent) >= OPERATIONS_LIMIT:
            operation = OTHER_OPERATIONS
        return self.recent.setdefault(operation, _Recent())

    def _add(self, run_time: Seconds) -> None:
        self.samples += 1
        self.total += run_time
        if self.samples > WINDOW_SAMPLES:
            self.samples //= 2
            self.total /= 2

    def _update_shortest(self) -> None:
        everything = sum(recent.samples for recent in self.recent.values())
        usual = [
            recent.median
            for recent in self.recent.values()
            if recent.median and recent.samples >= USUAL_PART * everything
        ]
        self.shortest = min(usual, default=0)


class _Recent:
    """The recent run times of one operation."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
        self.samples = 0
        self.next_update = LEAST_SAMPLES
        self.median = Seconds(0)

    def record(self, run_time: Seconds) -> bool:
        """Take in a run time; tell whether the median was worked out anew."""
        self.histogram.record_value(
            min(max(int(run_time * MICROSECONDS), 1), LONGEST_US),
        )
        self.samples += 1
        if self.samples < self.next_update:
            return False
        self._update()
        return True

    def _update(self) -> None:
        median = self.histogram.get_value_at_percentile(MEDIAN_PERCENT)
        self.median = Seconds(median / MICROSECONDS)
        if self.samples >= WINDOW_SAMPLES:
            self.histogram.reset()
            self.samples = 0
        self.next_update = self.samples + min(
            max(self.samples, LEAST_SAMPLES),
            UPDATE_SAMPLES,
        )
