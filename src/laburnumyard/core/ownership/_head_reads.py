"""When the head is read, and what a reading of it changes."""

from dataclasses import replace

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._due_messages import is_met_before_contact
from laburnumyard.core.ownership._effects import Effect, ReadHead
from laburnumyard.core.ownership._graceful_release import (
    FRESH_CONTACT,
    wants_release,
)
from laburnumyard.core.ownership._head_changes import swap_effect
from laburnumyard.core.ownership._manager_state import (
    FIRST_RETRY_INTERVAL,
    URGENT_INTERVAL,
    ManagerState,
    Phase,
)
from laburnumyard.core.ownership._manager_transitions import (
    adopt,
    finish,
    review_authority,
    settle,
)
from laburnumyard.core.ownership._store_events import HeadRead

REGULAR_INTERVAL = 10.0
# Regular reads in the time that a manager may act without one.
READS_PER_HOLD = 4
# In an outage each failure doubles the interval, up to this.
LONGEST_RETRY_INTERVAL = 2.0


def due_reading(state: ManagerState, now: Seconds) -> list[Effect]:
    """Return the read of the head that is due, if any."""
    reading = state.reading
    if reading.asked or state.authority.phase is Phase.IDLE:
        return []
    is_urgent = now >= reading.retry_at and _needs_reading(state, now)
    if not is_urgent and now < reading.regular_at:
        return []
    reading.asked = True
    return [ReadHead()]


def note_unreadable(state: ManagerState, now: Seconds) -> None:
    """Note that the store did not answer a read."""
    reading = state.reading
    reading.asked = False
    reading.retry_at = Seconds(now + reading.retry_interval)
    reading.regular_at = reading.retry_at
    reading.retry_interval = min(
        2 * reading.retry_interval,
        LONGEST_RETRY_INTERVAL,
    )
    # An outage does not end the authority to renew.
    reading.awake_at = None


def take_reading(
    state: ManagerState,
    event: HeadRead,
    now: Seconds,
) -> list[Effect]:
    """Act on a reading of the head.

    Parameters
    ----------
    state
        The manager.
    event
        The reading.
    now
        The time.

    Returns
    -------
    list of Effect
        What the daemon must do.
    """
    if event.asked_at is not None:
        _note_read(state, event.asked_at, now)
    snapshot = event.snapshot
    state.reading.is_absent = snapshot is None and state.snapshot is None
    if snapshot is None:
        return _repeat_unknown(state, None, now)
    if snapshot.head.version < state.version:
        return []
    effects: list[Effect] = []
    made = settle(state, snapshot)
    if made:
        effects.extend(finish(state, made, snapshot, now))
    effects.extend(adopt(state, snapshot, now))
    effects.extend(review_authority(state, event.asked_at, now))
    effects.extend(_repeat_unknown(state, snapshot.revision, now))
    return effects


def _note_read(state: ManagerState, asked_at: Seconds, now: Seconds) -> None:
    reading = state.reading
    reading.asked = False
    reading.is_stale = False
    reading.retry_interval = FIRST_RETRY_INTERVAL
    hold = state.settings.timing.outage_hold_s
    interval = min(REGULAR_INTERVAL, hold / READS_PER_HOLD)
    reading.regular_at = Seconds(now + interval)
    reading.retry_at = Seconds(now + URGENT_INTERVAL)
    if reading.awake_at is not None and asked_at >= reading.awake_at:
        reading.awake_at = None


def _repeat_unknown(
    state: ManagerState,
    revision: int | None,
    now: Seconds,
) -> list[Effect]:
    # The head is still the one that the swap was to replace. The swap may yet
    # arrive, so the same one is asked for again: only one of both can be made.
    change = state.change
    if change is None or not change.unknown or change.revision != revision:
        return []
    state.change = replace(change, unknown=False, repeated=True)
    return [swap_effect(state.change)]


def _needs_reading(state: ManagerState, now: Seconds) -> bool:
    reading = state.reading
    phase = state.authority.phase
    if reading.is_stale:
        return True
    if phase is Phase.TAKING:
        return state.snapshot is None and not reading.is_absent
    if reading.awake_at is not None:
        return True
    if phase is Phase.RETIRING:
        return False
    is_old = now >= state.authority.contact + FRESH_CONTACT
    if is_old and wants_release(state):
        return True
    return any(
        lease.met_at is not None and not is_met_before_contact(state, lease)
        for lease in state.leases.values()
    )
