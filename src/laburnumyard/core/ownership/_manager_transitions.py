"""State transitions of a lease manager that a new head causes."""

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
    """Adopt an assignment that the store has acknowledged.

    Parameters
    ----------
    state
        The state of the manager.
    snapshot
        The assignment; it is ignored unless newer than the known one.
    now
        The current time, in seconds.

    Returns
    -------
    list of Effect
        The actions that the daemon must run.
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
    """Determine from a head whether the pending swap was applied.

    Returns
    -------
    Change or None
        The change, if the head shows that it was applied.
    """
    change = state.change
    if change is None or snapshot is None:
        return None
    scope = snapshot.head.scopes.get(state.settings.data_centre)
    if scope and scope.change == change.change:
        state.change = None
        return change
    if change.revision is None or snapshot.revision > change.revision:
        # The head has a newer revision without the change, so the swap can
        # never succeed.
        state.change = None
    return None


def complete_change(
    state: ManagerState,
    change: Change,
    snapshot: Snapshot,
    now: Seconds,
) -> list[Effect]:
    """Complete a change that the store has applied.

    Parameters
    ----------
    state
        The state of the manager.
    change
        The applied change.
    snapshot
        A head that includes it, and possibly later changes of other managers.
    now
        The current time, in seconds.

    Returns
    -------
    list of Effect
        The actions that the daemon must run.
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
    """Update the phase from the newest head.

    Parameters
    ----------
    state
        The state of the manager.
    asked_at
        When the store was asked; ``None`` if a peer sent the head.
    now
        The current time, in seconds.

    Returns
    -------
    list of Effect
        The actions that the daemon must run.
    """
    authority = state.authority
    is_named = is_named_manager(state)
    if authority.phase is Phase.HOLDING and not is_named:
        return retire(state)
    if authority.phase is Phase.HOLDING and asked_at is not None:
        authority.confirmed_at = max(authority.confirmed_at, asked_at)
    is_asked = asked_at is not None
    if authority.phase is Phase.RETIRING and is_named and is_asked:
        # The store still names this manager, so the higher term is known only
        # to a target; take over again with a term above it.
        begin_takeover(state)
    if authority.phase is Phase.TAKING and state.change is None:
        return _check_rival_takeover(state)
    return []


def begin_takeover(state: ManagerState) -> None:
    """Enter the phase in which a new term is swapped into the head."""
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
    """Tell whether the newest head names this manager and its term."""
    scope = state.scope
    settings = state.settings
    return (
        scope is not None
        and scope.term == state.authority.term
        and scope.manager == settings.daemon
        and scope.incarnation == settings.incarnation
    )


def start_managing(state: ManagerState, now: Seconds) -> None:
    """Start managing the scope while earlier grants may still be valid."""
    state.authority.phase = Phase.HOLDING
    state.authority.taken_at = now
    state.may_be_misplaced = True
    # Delay the urgent read, so that all targets that are about to answer share
    # one.
    state.read_state.next_urgent_read_at = Seconds(now + URGENT_READ_INTERVAL_S)
    state.leases.clear()
    sync_leases(state, now)
    for lease in state.leases.values():
        if lease.name not in state.authority.never_granted:
            lease.inherited_ranges = state.owned_by(lease.name)


def retire(state: ManagerState) -> list[Effect]:
    """Yield the scope to the manager with the higher term.

    Targets that the successor has not sealed yet are still renewed: the
    successor moves none of their ranges before ``inherited_wait`` has passed.
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
    """Record that the answer to the swap was lost."""
    if state.change:
        state.change = replace(state.change, unknown=True)


def phase_log_line(state: ManagerState, action: str) -> LogDecision:
    """Return the log line about a phase change."""
    return LogDecision(
        action,
        (
            Detail('scope', state.settings.data_centre),
            Detail('term', str(state.authority.term)),
        ),
    )
