"""Handlers of the answers of the store and of targets."""

from functools import singledispatch

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._effects import Effect
from laburnumyard.core.ownership._events import TargetAnswer
from laburnumyard.core.ownership._head import Snapshot
from laburnumyard.core.ownership._lease_update import update_lease
from laburnumyard.core.ownership._manager_state import (
    ACTIVE_PHASES,
    ManagerState,
)
from laburnumyard.core.ownership._manager_transitions import (
    complete_change,
    mark_change_unknown,
    retire,
)
from laburnumyard.core.ownership._next_guard import record_next_guard_answer
from laburnumyard.core.ownership._store_events import (
    SwapAnswer,
    SwapDone,
    SwapRefused,
    SwapUnknown,
)

# A target with a term further ahead than this is faulty; following it could
# exhaust the terms of the whole service.
MAX_TERM_STEP = 1_000_000


@singledispatch
def handle_swap_answer(
    event: SwapAnswer,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    """Handle the store's answer to the pending swap.

    Parameters
    ----------
    event
        The answer.
    state
        The state of the manager.
    now
        The current time, in seconds.

    Returns
    -------
    list of Effect
        The actions that the daemon must run.
    """
    raise TypeError(f'swap answer {event!r} has no handler; register one')


@handle_swap_answer.register
def _handle_swap_done(
    event: SwapDone,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    change = state.change
    if change is None:
        return []
    state.change = None
    snapshot = Snapshot(change.head, change.assignment, event.revision)
    return complete_change(state, change, snapshot, now)


@handle_swap_answer.register
def _handle_swap_refused(
    event: SwapRefused,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    state.read_state.is_stale = True
    if state.change and state.change.repeated:
        # The first attempt may have been applied.
        mark_change_unknown(state)
    else:
        state.change = None
    return []


@handle_swap_answer.register
def _handle_swap_unknown(
    event: SwapUnknown,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    state.read_state.is_stale = True
    mark_change_unknown(state)
    return []


def handle_target_answer(
    state: ManagerState,
    answer: TargetAnswer,
    now: Seconds,
) -> list[Effect]:
    """Handle the answer of a target or its guard.

    Parameters
    ----------
    state
        The state of the manager.
    answer
        The answer.
    now
        The current time, in seconds.

    Returns
    -------
    list of Effect
        The actions that the daemon must run.
    """
    lease = state.leases.get(answer.target)
    authority = state.authority
    if lease is None or authority.phase not in ACTIVE_PHASES:
        return []
    if answer.guard != lease.guard:
        record_next_guard_answer(state, lease, answer, now)
        return []
    if answer.call <= lease.last_answered_call:
        return []
    if answer.term > authority.term + MAX_TERM_STEP:
        return []
    if answer.term > authority.term:
        authority.highest_term = max(authority.highest_term, answer.term)
        state.leases.pop(lease.name)
        state.read_state.is_stale = True
        return retire(state)
    update_lease(state, lease, answer, now)
    return []
