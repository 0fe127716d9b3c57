"""Handlers of events: the immediate change of state that each one causes.

The lease manager determines separately what is due after the change.
"""

from functools import singledispatch

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership import _events as events
from laburnumyard.core.ownership import _store_events as store_events
from laburnumyard.core.ownership._answer_handlers import (
    handle_swap_answer,
    handle_target_answer,
)
from laburnumyard.core.ownership._effects import Effect
from laburnumyard.core.ownership._head_reads import (
    handle_head_read,
    record_read_failure,
)
from laburnumyard.core.ownership._hint_handlers import record_hint
from laburnumyard.core.ownership._hints import Hint
from laburnumyard.core.ownership._manager_state import ManagerState, Phase
from laburnumyard.core.ownership._manager_transitions import begin_takeover


@singledispatch
def apply_event(
    event: events.Event,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    """Apply one event to the state of a manager.

    Parameters
    ----------
    event
        The event to apply.
    state
        The state of the manager.
    now
        The current time, in seconds.

    Returns
    -------
    list of Effect
        The actions that the event itself requires of the daemon.

    Raises
    ------
    TypeError
        If no handler is registered for the event.
    """
    raise TypeError(f'event {event!r} has no handler; register one')


@apply_event.register
def _handle_tick(
    event: events.Tick,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    return []


@apply_event.register
def _handle_take_over(
    event: events.TakeOver,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    if state.authority.phase in {Phase.IDLE, Phase.RETIRING}:
        begin_takeover(state)
    return []


@apply_event.register
def _handle_leave(
    event: events.Leave,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    state.authority.offer_at = now
    return []


@apply_event.register
def _handle_head(
    event: store_events.HeadRead,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    return handle_head_read(state, event, now)


@apply_event.register
def _handle_unreadable(
    event: store_events.HeadUnreadable,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    record_read_failure(state, now)
    return []


@apply_event.register
def _handle_swap(
    event: store_events.SwapAnswer,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    if state.change is None or state.change.change != event.change:
        return []
    return handle_swap_answer(event, state, now)


@apply_event.register
def _handle_answer(
    event: events.TargetAnswer,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    return handle_target_answer(state, event, now)


@apply_event.register
def _handle_hint(
    event: Hint,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    record_hint(event, state, now)
    return []
