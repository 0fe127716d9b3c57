"""Whether a request can be answered in time."""

from laburnumyard.core.errors import ErrorKind, Failure
from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._entries import Entry
from laburnumyard.core.requests._run_times import OperationTimes

MILLISECONDS = 1000
# One in so many requests that look too late runs all the same, so that an
# estimate that was once too high is corrected.
PROBE_INTERVAL = 16


class Admission:
    """Refuses requests that would not be answered before their deadline.

    Parameters
    ----------
    times
        The run times of the service's operations.
    """

    def __init__(self, times: OperationTimes) -> None:
        """Start without any refusal."""
        self.times = times
        self.too_late = 0

    def refusal(
        self,
        entry: Entry,
        wait: Seconds,
        now: Seconds,
    ) -> Failure | None:
        """Refuse a request whose median run would end after its deadline.

        Parameters
        ----------
        entry
            The request.
        wait
            For how long it is expected to wait for a slot, in seconds.
        now
            The time.

        Returns
        -------
        Failure or None
            None where the request is admitted.
        """
        request = entry.request
        needed = wait + self.times.typical(request.operation)
        left = request.deadline - now
        if left > 0 and (needed <= left or self._is_probe(entry)):
            return None
        return _too_short(left * MILLISECONDS, needed * MILLISECONDS)

    def _is_probe(self, entry: Entry) -> bool:
        if not entry.is_probe:
            self.too_late += 1
            entry.is_probe = self.too_late % PROBE_INTERVAL == 0
        return entry.is_probe


def _too_short(left_ms: float, needed_ms: float) -> Failure:
    return Failure(
        ErrorKind.DEADLINE_TOO_SHORT,
        f'{left_ms:.0f} of {needed_ms:.0f} ms left: allow more time',
    )
