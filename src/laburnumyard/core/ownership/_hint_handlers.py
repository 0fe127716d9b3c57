"""What others want of a manager, or know about its targets."""

from functools import singledispatch

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership import _hints as hints
from laburnumyard.core.ownership._lease import NEVER
from laburnumyard.core.ownership._manager_state import (
    ManagerState,
    Phase,
    WantedMove,
)
from laburnumyard.core.ownership._manager_transitions import sync_leases

# More hints than this are dropped; the planner asks again.
MAX_WISHES = 64
# How long a hint for a move waits, for example for the store.
MOVE_WISH_LIFE = 3.0


@singledispatch
def note(event: hints.Hint, state: ManagerState, now: Seconds) -> None:
    """Note a hint or a hint; the manager acts on it when it can."""
    raise TypeError(f'event {event!r} has no handler; register one')


@note.register
def _draining(
    event: hints.TargetDraining,
    state: ManagerState,
    now: Seconds,
) -> None:
    if event.draining:
        state.draining.add(event.target)
        state.staying.discard(event.target)
    else:
        state.draining.discard(event.target)
        state.staying.add(event.target)


@note.register
def _leaving(
    event: hints.TargetLeaving,
    state: ManagerState,
    now: Seconds,
) -> None:
    if event.is_leaving:
        state.leaving.add(event.target)
    else:
        state.leaving.discard(event.target)


@note.register
def _gone(
    event: hints.TargetGone,
    state: ManagerState,
    now: Seconds,
) -> None:
    lease = state.leases.get(event.target)
    if lease is None or not state.settings.timing.removal_means_stopped:
        return
    lease.inherited = ()
    lease.expires_by = NEVER


@note.register
def _down(
    event: hints.TargetDown,
    state: ManagerState,
    now: Seconds,
) -> None:
    if event.down:
        state.down.add(event.target)
    else:
        state.down.discard(event.target)


@note.register
def _guards(
    event: hints.GuardCandidates,
    state: ManagerState,
    now: Seconds,
) -> None:
    state.guards[event.target] = event


@note.register
def _move(
    event: hints.MoveRequested,
    state: ManagerState,
    now: Seconds,
) -> None:
    is_holding = state.authority.phase is Phase.HOLDING
    if is_holding and len(state.moves) < MAX_WISHES:
        drop_at = Seconds(now + MOVE_WISH_LIFE)
        state.moves[event.part] = WantedMove(event.to, drop_at)


@note.register
def _merge(
    event: hints.MergeRequested,
    state: ManagerState,
    now: Seconds,
) -> None:
    if len(state.merges) < MAX_WISHES:
        state.merges.append(event.span)


@note.register
def _plan(
    event: hints.PlanChanged,
    state: ManagerState,
    now: Seconds,
) -> None:
    state.plan = event.plan
    state.may_be_misplaced = True
    if state.authority.phase is Phase.HOLDING:
        sync_leases(state, now)
