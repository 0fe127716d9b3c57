"""What each event changes at once; what is due then is found separately."""

from functools import singledispatch

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership import _events as events
from laburnumyard.core.ownership import _store_events as store_events
from laburnumyard.core.ownership._answer_handlers import (
    take_swap_answer,
    take_target_answer,
)
from laburnumyard.core.ownership._effects import Effect
from laburnumyard.core.ownership._head_reads import (
    note_unreadable,
    take_reading,
)
from laburnumyard.core.ownership._hint_handlers import note
from laburnumyard.core.ownership._hints import Hint
from laburnumyard.core.ownership._manager_state import ManagerState, Phase
from laburnumyard.core.ownership._manager_transitions import begin_takeover


@singledispatch
def take_event(
    event: events.Event,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    """Change the state of a manager by one event.

    Parameters
    ----------
    event
        What has happened.
    state
        The manager.
    now
        The time.

    Returns
    -------
    list of Effect
        What the daemon must do because of the event itself.

    Raises
    ------
    TypeError
        If no handler is registered for the event.
    """
    raise TypeError(f'event {event!r} has no handler; register one')


@take_event.register
def _take_tick(
    event: events.Tick,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    return []


@take_event.register
def _take_over(
    event: events.TakeOver,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    if state.authority.phase in {Phase.IDLE, Phase.RETIRING}:
        begin_takeover(state)
    return []


@take_event.register
def _take_leave(
    event: events.Leave,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    state.authority.offer_at = now
    return []


@take_event.register
def _take_head(
    event: store_events.HeadRead,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    return take_reading(state, event, now)


@take_event.register
def _take_unreadable(
    event: store_events.HeadUnreadable,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    note_unreadable(state, now)
    return []


@take_event.register
def _take_swap(
    event: store_events.SwapAnswer,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    if state.change is None or state.change.change != event.change:
        return []
    return take_swap_answer(event, state, now)


@take_event.register
def _take_answer(
    event: events.TargetAnswer,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    return take_target_answer(state, event, now)


@take_event.register
def _take_wish(
    event: Hint,
    state: ManagerState,
    now: Seconds,
) -> list[Effect]:
    note(event, state, now)
    return []
