"""What a reading of the head settles: changes, authority, assignments."""

from dataclasses import replace

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._effects import (
    AssignmentChanged,
    Detail,
    Effect,
    LogDecision,
)
from laburnumyard.core.ownership._graceful_release import prune_releases
from laburnumyard.core.ownership._head import Snapshot
from laburnumyard.core.ownership._lease_sync import sync_leases
from laburnumyard.core.ownership._manager_state import (
    URGENT_READ_INTERVAL_S,
    Change,
    ManagerState,
    Phase,
)
from laburnumyard.core.ownership._ranges import ranges_by_target


def adopt_snapshot(
    state: ManagerState,
    snapshot: Snapshot,
    now: Seconds,
) -> list[Effect]:
    """Take in an assignment that the store has acknowledged.

    Parameters
    ----------
    state
        The manager.
    snapshot
        The assignment; an older one than the known one changes nothing.
    now
        The time.

    Returns
    -------
    list of Effect
        What the daemon must know.
    """
    if snapshot.head.version <= state.version:
        return []
    state.snapshot = snapshot
    state.owners = ranges_by_target(snapshot.assignment)
    state.pending_merges.clear()
    if state.authority.phase is Phase.HOLDING:
        sync_leases(state, now)
        prune_releases(state)
    return [AssignmentChanged(snapshot)]


def resolve_change(
    state: ManagerState, snapshot: Snapshot | None
) -> Change | None:
    """Compare the unsettled change with a reading of the head.

    Returns
    -------
    Change or None
        The change, if the reading shows that the store has made it.
    """
    change = state.change
    if change is None or snapshot is None:
        return None
    scope = snapshot.head.scopes.get(state.settings.data_centre)
    if scope and scope.change == change.change:
        state.change = None
        return change
    if change.revision is None or snapshot.revision > change.revision:
        # The head has moved on without it, so it can never be made.
        state.change = None
    return None


def complete_change(
    state: ManagerState,
    change: Change,
    snapshot: Snapshot,
    now: Seconds,
) -> list[Effect]:
    """Act on a change that the store has made.

    Parameters
    ----------
    state
        The manager.
    change
        The change.
    snapshot
        The head with it, and maybe with later changes of other managers.
    now
        The time.

    Returns
    -------
    list of Effect
        What the daemon must know.
    """
    authority = state.authority
    authority.confirmed_at = max(authority.confirmed_at, change.sent_at)
    effects = adopt_snapshot(state, snapshot, now)
    if authority.phase is Phase.TAKING and is_named_manager(state):
        start_managing(state, now)
        effects.append(phase_log_line(state, 'take-over'))
    return effects


def update_phase_from_head(
    state: ManagerState,
    asked_at: Seconds | None,
    now: Seconds,
) -> list[Effect]:
    """Compare the phase with the newest head after it has been read.

    Parameters
    ----------
    state
        The manager.
    asked_at
        When the store was asked; ``None`` if a peer passed the head on.
    now
        The time.

    Returns
    -------
    list of Effect
        What the daemon must know.
    """
    authority = state.authority
    is_named = is_named_manager(state)
    if authority.phase is Phase.HOLDING and not is_named:
        return retire(state)
    if authority.phase is Phase.HOLDING and asked_at is not None:
        authority.confirmed_at = max(authority.confirmed_at, asked_at)
    is_asked = asked_at is not None
    if authority.phase is Phase.RETIRING and is_named and is_asked:
        # Only a target knows the higher term, so the store's is too low.
        begin_takeover(state)
    if authority.phase is Phase.TAKING and state.change is None:
        return _check_rival_takeover(state)
    return []


def begin_takeover(state: ManagerState) -> None:
    """Prepare to swap a new term into the head."""
    state.authority.phase = Phase.TAKING
    state.authority.replaced_term = state.scope.term if state.scope else None
    state.change = None


def _check_rival_takeover(state: ManagerState) -> list[Effect]:
    scope = state.scope
    replaced_term = state.authority.replaced_term
    if scope is None or scope.term == replaced_term:
        return []
    if replaced_term is None:
        state.authority.replaced_term = scope.term
        return []
    return retire(state)


def is_named_manager(state: ManagerState) -> bool:
    """Tell whether the newest head names this manager with its term."""
    scope = state.scope
    settings = state.settings
    return (
        scope is not None
        and scope.term == state.authority.term
        and scope.manager == settings.daemon
        and scope.incarnation == settings.incarnation
    )


def start_managing(state: ManagerState, now: Seconds) -> None:
    """Begin to manage the scope, its predecessor's grants still live."""
    state.authority.phase = Phase.HOLDING
    state.authority.taken_at = now
    state.may_be_misplaced = True
    # One read for all targets that are about to be met.
    state.read_state.next_urgent_read_at = Seconds(now + URGENT_READ_INTERVAL_S)
    state.leases.clear()
    sync_leases(state, now)
    for lease in state.leases.values():
        if lease.name not in state.authority.never_granted:
            lease.inherited_ranges = state.owned_by(lease.name)


def retire(state: ManagerState) -> list[Effect]:
    """Leave the scope to the manager with the higher term.

    Targets that its successor has not sealed yet are renewed as they are: the
    successor moves none of their ranges before ``inherited_wait`` is over.
    """
    if state.authority.phase is Phase.RETIRING:
        return []
    state.authority.phase = Phase.RETIRING
    frozen = state.change.frozen if state.change else ()
    for name in state.leases.keys() & set(frozen):
        state.leases.pop(name)
    state.change = None
    state.pending_moves.clear()
    return [phase_log_line(state, 'retire')]


def mark_change_unknown(state: ManagerState) -> None:
    """Note that the answer to the swap was lost."""
    if state.change:
        state.change = replace(state.change, unknown=True)


def phase_log_line(state: ManagerState, action: str) -> LogDecision:
    """Return the log line of a change of phase."""
    return LogDecision(
        action,
        (
            Detail('scope', state.settings.data_centre),
            Detail('term', str(state.authority.term)),
        ),
    )
