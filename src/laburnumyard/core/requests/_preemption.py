"""Preemption of borrowed slots for requests within paid shares."""

from collections.abc import Collection, Iterable

from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._entries import QueueEntry, RequestState
from laburnumyard.core.requests._run_times import OperationTimes

# A request is preempted at most this often, so that it eventually finishes.
MAX_PREEMPTIONS = 3
# A run is preempted before this fraction of the median run time, when little
# work is lost, or after this multiple of the median, as a straggler. In between
# it is about to finish: stopping it would waste more than it saves.
EARLY_FRACTION = 0.25
STRAGGLER_FACTOR = 2


def select_preempted(
    running: Collection[QueueEntry],
    wanted: int,
    times: OperationTimes,
    now: Seconds,
) -> list[QueueEntry]:
    """Select the runs to preempt.

    Parameters
    ----------
    running
        All runs at the target.
    wanted
        Number of slots needed for requests within paid shares.
    times
        The run times of the service's operations.
    now
        The current time, in seconds.

    Returns
    -------
    list of QueueEntry
        Repeatable runs on borrowed slots: stragglers first, then the most
        recently started.
    """
    stopping = sum(entry.state is not RequestState.RUNNING for entry in running)
    missing = wanted - stopping
    if missing <= 0:
        return []
    borrowed = [entry for entry in running if _is_preemptible(entry)]
    stragglers = [
        entry for entry in borrowed if now >= _straggler_at(entry, times)
    ]
    early = [entry for entry in borrowed if _is_early(entry, times, now)]
    early.sort(key=_started, reverse=True)
    return [*stragglers, *early][:missing]


def next_straggler_at(
    running: Iterable[QueueEntry],
    times: OperationTimes,
    now: Seconds,
) -> Seconds | None:
    """Return when the next run on a borrowed slot becomes a straggler."""
    borrowed = (entry for entry in running if _is_preemptible(entry))
    late = (_straggler_at(entry, times) for entry in borrowed)
    return min((moment for moment in late if moment > now), default=None)


def _is_preemptible(entry: QueueEntry) -> bool:
    return (
        entry.is_borrowing
        and entry.state is RequestState.RUNNING
        and entry.request.repeatable
        and entry.preemptions < MAX_PREEMPTIONS
    )


def _straggler_at(entry: QueueEntry, times: OperationTimes) -> Seconds:
    median_run_time = times.median_run_time(entry.request.operation)
    return Seconds(entry.started + STRAGGLER_FACTOR * median_run_time)


def _is_early(entry: QueueEntry, times: OperationTimes, now: Seconds) -> bool:
    median_run_time = times.median_run_time(entry.request.operation)
    return now - entry.started < EARLY_FRACTION * median_run_time


def _started(entry: QueueEntry) -> Seconds:
    return entry.started
