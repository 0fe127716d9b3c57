"""Admission control by the time left until a request's deadline."""

from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._entries import QueueEntry
from laburnumyard.core.requests._run_times import OperationTimes

MS_PER_S = 1000
# One in this many requests that would miss the deadline is admitted anyway, so
# that a run time estimate that is too high gets corrected.
PROBE_INTERVAL = 16


class Admission:
    """Refuses requests that would not be answered before their deadline.

    Parameters
    ----------
    times
        The run times of the service's operations.
    """

    def __init__(self, times: OperationTimes) -> None:
        """Start with no late request counted."""
        self.times = times
        self.late_count = 0

    def refusal(
        self,
        entry: QueueEntry,
        wait: Seconds,
        now: Seconds,
    ) -> Failure | None:
        """Check whether the median run would end before the deadline.

        Parameters
        ----------
        entry
            The request.
        wait
            Expected time in the queue, in seconds.
        now
            The current time, in seconds.

        Returns
        -------
        Failure or None
            None if the request is admitted.
        """
        request = entry.request
        needed = wait + self.times.median_run_time(request.operation)
        left = request.deadline - now
        if left > 0 and (needed <= left or self._is_probe(entry)):
            return None
        return _too_short(left * MS_PER_S, needed * MS_PER_S)

    def _is_probe(self, entry: QueueEntry) -> bool:
        if not entry.is_probe:
            self.late_count += 1
            entry.is_probe = self.late_count % PROBE_INTERVAL == 0
        return entry.is_probe


def _too_short(left_ms: float, needed_ms: float) -> Failure:
    return Failure(
        ErrorKind.DEADLINE_TOO_SHORT,
        f'{left_ms:.0f} of {needed_ms:.0f} ms left: allow more time',
    )
