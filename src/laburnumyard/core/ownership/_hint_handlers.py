"""Handlers of the hints to a lease manager."""

from functools import singledispatch

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership import _hints as hints
from laburnumyard.core.ownership._manager_state import (
    ManagerState,
    PendingMove,
    Phase,
)
from laburnumyard.core.ownership._manager_transitions import sync_leases
from laburnumyard.core.ownership._target_lease import DISTANT_PAST

# Further hints are dropped; the planner repeats them.
MAX_PENDING_HINTS = 64
# How long a move hint may wait, for example for the store.
MOVE_HINT_LIFETIME_S = 3.0


@singledispatch
def record_hint(event: hints.Hint, state: ManagerState, now: Seconds) -> None:
    """Record a hint; the manager acts on it when it can."""
    raise TypeError(f'hint {event!r} has no handler; register one')


@record_hint.register
def _record_draining(
    event: hints.TargetDraining,
    state: ManagerState,
    now: Seconds,
) -> None:
    if event.draining:
        state.draining.add(event.target)
        state.undrained.discard(event.target)
    else:
        state.draining.discard(event.target)
        state.undrained.add(event.target)


@record_hint.register
def _record_leaving(
    event: hints.TargetLeaving,
    state: ManagerState,
    now: Seconds,
) -> None:
    if event.is_leaving:
        state.leaving.add(event.target)
    else:
        state.leaving.discard(event.target)


@record_hint.register
def _record_gone(
    event: hints.TargetGone,
    state: ManagerState,
    now: Seconds,
) -> None:
    lease = state.leases.get(event.target)
    if lease is None or not state.settings.timing.removal_means_stopped:
        return
    lease.inherited_ranges = ()
    lease.expires_by = DISTANT_PAST


@record_hint.register
def _record_down(
    event: hints.TargetDown,
    state: ManagerState,
    now: Seconds,
) -> None:
    if event.down:
        state.down.add(event.target)
    else:
        state.down.discard(event.target)


@record_hint.register
def _record_guards(
    event: hints.GuardCandidates,
    state: ManagerState,
    now: Seconds,
) -> None:
    state.guards[event.target] = event


@record_hint.register
def _record_move(
    event: hints.MoveRequested,
    state: ManagerState,
    now: Seconds,
) -> None:
    is_holding = state.authority.phase is Phase.HOLDING
    if is_holding and len(state.pending_moves) < MAX_PENDING_HINTS:
        expires_at = Seconds(now + MOVE_HINT_LIFETIME_S)
        state.pending_moves[event.part] = PendingMove(event.to, expires_at)


@record_hint.register
def _record_merge(
    event: hints.MergeRequested,
    state: ManagerState,
    now: Seconds,
) -> None:
    if len(state.pending_merges) < MAX_PENDING_HINTS:
        state.pending_merges.append(event.span)


@record_hint.register
def _record_plan(
    event: hints.PlanChanged,
    state: ManagerState,
    now: Seconds,
) -> None:
    state.plan = event.plan
    state.may_be_misplaced = True
    if state.authority.phase is Phase.HOLDING:
        sync_leases(state, now)
