"""Which lent slots are taken back for a customer's paid share."""

from collections.abc import Collection, Iterable

from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._entries import Entry, State
from laburnumyard.core.requests._run_times import OperationTimes

# A request is preempted at most so often, so that it comes to an end.
PREEMPTIONS_LIMIT = 3
# A run is stopped before this part of the median run time, when little work
# is lost, or after this many times the median, when no end is in sight. In
# between it ends soon: stopping it would waste more than it saves.
EARLY_FACTOR = 0.25
STRAGGLER_FACTOR = 2


def victims(
    running: Collection[Entry],
    wanted: int,
    times: OperationTimes,
    now: Seconds,
) -> list[Entry]:
    """Choose the runs that are stopped.

    Parameters
    ----------
    running
        All runs at the target.
    wanted
        How many slots are wanted for paid shares.
    times
        The run times of the service's operations.
    now
        The time.

    Returns
    -------
    list of Entry
        Lent, repeatable runs; stragglers come first, then those that have
        done the least work.
    """
    stopping = sum(entry.state is not State.RUNNING for entry in running)
    missing = wanted - stopping
    if missing <= 0:
        return []
    lent = [entry for entry in running if _may_stop(entry)]
    stragglers = [entry for entry in lent if now >= _late_at(entry, times)]
    early = [entry for entry in lent if _is_early(entry, times, now)]
    early.sort(key=_started, reverse=True)
    return [*stragglers, *early][:missing]


def next_straggler(
    running: Iterable[Entry],
    times: OperationTimes,
    now: Seconds,
) -> Seconds | None:
    """Give when the next lent run will be taken for a straggler."""
    lent = (entry for entry in running if _may_stop(entry))
    late = (_late_at(entry, times) for entry in lent)
    return min((moment for moment in late if moment > now), default=None)


def _may_stop(entry: Entry) -> bool:
    return (
        entry.is_lent
        and entry.state is State.RUNNING
        and entry.request.repeatable
        and entry.preemptions < PREEMPTIONS_LIMIT
    )


def _late_at(entry: Entry, times: OperationTimes) -> Seconds:
    typical = times.typical(entry.request.operation)
    return Seconds(entry.started + STRAGGLER_FACTOR * typical)


def _is_early(entry: Entry, times: OperationTimes, now: Seconds) -> bool:
    typical = times.typical(entry.request.operation)
    return now - entry.started < EARLY_FACTOR * typical


def _started(entry: Entry) -> Seconds:
    return entry.started
