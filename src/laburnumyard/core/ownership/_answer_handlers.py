"""What the answers of the store and of targets change."""

from functools import singledispatch

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._effects import Effect
from laburnumyard.core.ownership._events import TargetAnswer
from laburnumyard.core.ownership._head import Snapshot
from laburnumyard.core.ownership._lease_update import take_answer
from laburnumyard.core.ownership._manager_state import (
    ACTIVE_PHASES,
    ManagerState,
)
from laburnumyard.core.ownership._manager_transitions import (
    finish,
    mark_unknown,
    retire,
)
from laburnumyard.core.ownership._next_guard import note_meeting
from laburnumyard.core.ownership._store_events import (
    SwapAnswer,
    SwapDone,
    SwapRefused,
    SwapUnknown,
)

# A target that shows a term further ahead than this is broken: following it
# could use up the terms of the whole service.
LARGEST_TERM_STEP = 1_000_000


@singledispatch
def take_swap_answer(
    event: SwapAnswer,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    """Act on the store's answer to the change under way.

    Parameters
    ----------
    event
        The answer.
    state
        The manager.
    now
        The time.

    Returns
    -------
    list of Effect
        What the daemon must do.
    """
    raise TypeError(f'swap answer {event!r} has no handler; register one')


@take_swap_answer.register
def _take_done(
    event: SwapDone,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    change = state.change
    if change is None:
        return []
    state.change = None
    snapshot = Snapshot(change.head, change.assignment, event.revision)
    return finish(state, change, snapshot, now)


@take_swap_answer.register
def _take_refused(
    event: SwapRefused,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    state.reading.is_stale = True
    if state.change and state.change.repeated:
        # The first attempt may have been made after all.
        mark_unknown(state)
    else:
        state.change = None
    return []


@take_swap_answer.register
def _take_unknown(
    event: SwapUnknown,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    state.reading.is_stale = True
    mark_unknown(state)
    return []


def take_target_answer(
    state: ManagerState,
    answer: TargetAnswer,
    now: Seconds,
) -> list[Effect]:
    """Act on the answer of a target or its guard.

    Parameters
    ----------
    state
        The manager.
    answer
        The answer.
    now
        The time.

    Returns
    -------
    list of Effect
        What the daemon must do.
    """
    lease = state.leases.get(answer.target)
    authority = state.authority
    if lease is None or authority.phase not in ACTIVE_PHASES:
        return []
    if answer.guard != lease.guard:
        note_meeting(state, lease, answer, now)
        return []
    if answer.call <= lease.answered:
        return []
    if answer.term > authority.term + LARGEST_TERM_STEP:
        return []
    if answer.term > authority.term:
        authority.highest_term = max(authority.highest_term, answer.term)
        state.leases.pop(lease.name)
        state.reading.is_stale = True
        return retire(state)
    take_answer(state, lease, answer, now)
    return []
