"""Which lent slots are taken back for a customer's paid share."""

from collections.abc import Collection

from laburnumyard.core.ids import Seconds
from laburnumyard.core.requests._entries import Entry, State
from laburnumyard.core.requests._estimates import OperationTimes

# A request is preempted at most so often, so that it comes to an end.
PREEMPTIONS_LIMIT = 3
# A run that takes this many times the median is taken for a straggler.
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
        Lent, repeatable runs: first those that are expected to go on for
        the longest time, then those that have done the least work.
    """
    stopping = sum(entry.state is not State.RUNNING for entry in running)
    lent = [entry for entry in running if _may_stop(entry)]
    long = [entry for entry in lent if _is_long(entry, times, now)]
    short = [entry for entry in lent if entry not in long]
    ordered = (*long, *sorted(short, key=_started, reverse=True))
    return list(ordered[: max(wanted - stopping, 0)])


def _may_stop(entry: Entry) -> bool:
    return (
        entry.is_lent
        and entry.state is State.RUNNING
        and entry.request.repeatable
        and entry.preemptions < PREEMPTIONS_LIMIT
    )


def _is_long(entry: Entry, times: OperationTimes, now: Seconds) -> bool:
    typical = times.typical(entry.request.operation)
    return entry.is_long or now - entry.started > STRAGGLER_FACTOR * typical


def _started(entry: Entry) -> Seconds:
    return entry.started
