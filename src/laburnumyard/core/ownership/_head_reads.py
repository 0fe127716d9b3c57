"""Schedules reads of the head and handles their results."""

from dataclasses import replace

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._due_messages import (
    is_confirmed_since_first_answer,
)
from laburnumyard.core.ownership._effects import Effect, ReadHead
from laburnumyard.core.ownership._graceful_release import (
    MAX_CONFIRMATION_AGE_S,
    needs_release,
)
from laburnumyard.core.ownership._head_changes import swap_effect
from laburnumyard.core.ownership._manager_state import (
    INITIAL_RETRY_INTERVAL_S,
    URGENT_READ_INTERVAL_S,
    ManagerState,
    Phase,
)
from laburnumyard.core.ownership._manager_transitions import (
    adopt_snapshot,
    complete_change,
    resolve_change,
    update_phase_from_head,
)
from laburnumyard.core.ownership._store_events import HeadRead

REGULAR_READ_INTERVAL_S = 10.0
# Regular reads in the time for which a manager may act without the store.
READS_PER_OUTAGE_HOLD = 4
# During an outage each failure doubles the retry interval, up to this bound.
MAX_RETRY_INTERVAL_S = 2.0


def due_read(state: ManagerState, now: Seconds) -> list[Effect]:
    """Return the read of the head that is due, if any."""
    read_state = state.read_state
    if read_state.is_read_pending or state.authority.phase is Phase.IDLE:
        return []
    is_urgent = now >= read_state.next_urgent_read_at and _needs_urgent_read(
        state, now
    )
    if not is_urgent and now < read_state.next_regular_read_at:
        return []
    read_state.is_read_pending = True
    return [ReadHead()]


def record_read_failure(state: ManagerState, now: Seconds) -> None:
    """Record a failed read and back off."""
    read_state = state.read_state
    read_state.is_read_pending = False
    read_state.next_urgent_read_at = Seconds(now + read_state.retry_interval)
    read_state.next_regular_read_at = read_state.next_urgent_read_at
    read_state.retry_interval = min(
        2 * read_state.retry_interval,
        MAX_RETRY_INTERVAL_S,
    )
    # An outage does not end the manager's authority to renew.
    read_state.resumed_at = None


def handle_head_read(
    state: ManagerState,
    event: HeadRead,
    now: Seconds,
) -> list[Effect]:
    """Handle a head from the store or a peer.

    Parameters
    ----------
    state
        The state of the manager.
    event
        The head, and when it was requested.
    now
        The current time, in seconds.

    Returns
    -------
    list of Effect
        The actions that the daemon must run.
    """
    if event.asked_at is not None:
        _record_read(state, event.asked_at, now)
    snapshot = event.snapshot
    state.read_state.is_absent = snapshot is None and state.snapshot is None
    if snapshot is None:
        return _retry_unknown_swap(state, None, now)
    if snapshot.head.version < state.version:
        return []
    effects: list[Effect] = []
    committed = resolve_change(state, snapshot)
    if committed:
        effects.extend(complete_change(state, committed, snapshot, now))
    effects.extend(adopt_snapshot(state, snapshot, now))
    effects.extend(update_phase_from_head(state, event.asked_at, now))
    effects.extend(_retry_unknown_swap(state, snapshot.revision, now))
    return effects


def _record_read(state: ManagerState, asked_at: Seconds, now: Seconds) -> None:
    read_state = state.read_state
    read_state.is_read_pending = False
    read_state.is_stale = False
    read_state.retry_interval = INITIAL_RETRY_INTERVAL_S
    hold = state.settings.timing.outage_hold_s
    interval = min(REGULAR_READ_INTERVAL_S, hold / READS_PER_OUTAGE_HOLD)
    read_state.next_regular_read_at = Seconds(now + interval)
    read_state.next_urgent_read_at = Seconds(now + URGENT_READ_INTERVAL_S)
    if read_state.resumed_at is not None and asked_at >= read_state.resumed_at:
        read_state.resumed_at = None


def _retry_unknown_swap(
    state: ManagerState,
    revision: int | None,
    now: Seconds,
) -> list[Effect]:
    # The head is unchanged, but the swap may still arrive. Retry the same swap:
    # only one of both can succeed.
    change = state.change
    if change is None or not change.unknown or change.revision != revision:
        return []
    state.change = replace(change, unknown=False, repeated=True)
    return [swap_effect(state.change)]


def _needs_urgent_read(state: ManagerState, now: Seconds) -> bool:
    read_state = state.read_state
    phase = state.authority.phase
    if read_state.is_stale:
        return True
    if phase is Phase.TAKING:
        return state.snapshot is None and not read_state.is_absent
    if read_state.resumed_at is not None:
        return True
    if phase is Phase.RETIRING:
        return False
    is_old = now >= state.authority.confirmed_at + MAX_CONFIRMATION_AGE_S
    if is_old and needs_release(state):
        return True
    return any(
        lease.first_answer_at is not None
        and not is_confirmed_since_first_answer(state, lease)
        for lease in state.leases.values()
    )
