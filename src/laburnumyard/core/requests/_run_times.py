"""Run times of operations, measured by this daemon in histograms."""

from hdrh.histogram import HdrHistogram

from laburnumyard.core.ids import Seconds

US_PER_S = 1_000_000
MAX_RUN_TIME_US = 60 * US_PER_S
SIGNIFICANT_DIGITS = 2
MEDIAN_PERCENT = 50
# Samples before a histogram is used.
MIN_SAMPLES = 8
# Samples after which a histogram is reset.
WINDOW_SAMPLES = 1024
# Samples after which a median is recomputed at the latest.
UPDATE_SAMPLES = 128
# An operation is long if its median exceeds this multiple of the shortest
# median of a common operation.
LONG_FACTOR = 5
# An operation with at least this fraction of the requests is common.
COMMON_FRACTION = 0.05
# Distinct operations that are tracked; the rest are aggregated.
MAX_OPERATIONS = 64
OTHER_OPERATIONS = ''


class OperationTimes:
    """Run times per operation of one service.

    All queues of a daemon for the same service share one instance.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self.by_operation: dict[str, _OperationRunTimes] = {}
        self.samples = 0
        self.total: float = 0
        self.shortest: float = 0

    def record(self, operation: str, run_time: Seconds) -> None:
        """Record the run time of one answered request.

        Parameters
        ----------
        operation
            The operation that ran.
        run_time
            Time from sending to the complete answer, in seconds.
        """
        run_times = self._run_times_of(operation)
        self._add_slot_time(run_time)
        if run_times.record(run_time):
            self._update_shortest()

    def record_interrupted(self, run_time: Seconds) -> None:
        """Record the slot time of a run that ended without an answer."""
        self._add_slot_time(run_time)

    def median_run_time(self, operation: str) -> Seconds:
        """Return the median run time, in seconds; 0 without enough samples."""
        run_times = self.by_operation.get(operation)
        return Seconds(0) if run_times is None else run_times.median

    def mean(self) -> Seconds:
        """Return the mean slot time of a run, in seconds; 0 while unknown."""
        if self.samples < MIN_SAMPLES:
            return Seconds(0)
        return Seconds(self.total / self.samples)

    def is_long(self, operation: str) -> bool:
        """Return whether the operation runs far longer than the common ones."""
        long_threshold = LONG_FACTOR * self.shortest
        return 0 < long_threshold < self.median_run_time(operation)

    def _run_times_of(self, operation: str) -> '_OperationRunTimes':
        run_times = self.by_operation.get(operation)
        if run_times is not None:
            return run_times
        if len(self.by_operation) >= MAX_OPERATIONS:
            operation = OTHER_OPERATIONS
        return self.by_operation.setdefault(operation, _OperationRunTimes())

    def _add_slot_time(self, run_time: Seconds) -> None:
        self.samples += 1
        self.total += run_time
        if self.samples > WINDOW_SAMPLES:
            self.samples //= 2
            self.total /= 2

    def _update_shortest(self) -> None:
        total_samples = sum(
            run_times.samples for run_times in self.by_operation.values()
        )
        common_medians = [
            run_times.median
            for run_times in self.by_operation.values()
            if run_times.median
            and run_times.samples >= COMMON_FRACTION * total_samples
        ]
        self.shortest = min(common_medians, default=0)


class _OperationRunTimes:
    """Histogram of the recent run times of one operation."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, MAX_RUN_TIME_US, SIGNIFICANT_DIGITS)
        self.samples = 0
        self.next_update = MIN_SAMPLES
        self.median = Seconds(0)

    def record(self, run_time: Seconds) -> bool:
        """Record a run time; return whether the median was recomputed."""
        self.histogram.record_value(
            min(max(int(run_time * US_PER_S), 1), MAX_RUN_TIME_US),
        )
        self.samples += 1
        if self.samples < self.next_update:
            return False
        self._update()
        return True

    def _update(self) -> None:
        median = self.histogram.get_value_at_percentile(MEDIAN_PERCENT)
        self.median = Seconds(median / US_PER_S)
        if self.samples >= WINDOW_SAMPLES:
            self.histogram.reset()
            self.samples = 0
        self.next_update = self.samples + min(
            max(self.samples, MIN_SAMPLES),
            UPDATE_SAMPLES,
        )
