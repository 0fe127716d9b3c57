"""Determines which targets can take ranges and which must give them up."""

from collections.abc import Iterable

from laburnumyard.core.ids import DaemonName, Seconds, TargetName
from laburnumyard.core.ownership._manager_state import ManagerState
from laburnumyard.core.ownership._target_lease import TargetLease

# Renewal intervals without an answer after which a loss is prepared: two
# consecutive renewals were not answered.
UNRESPONSIVE_AFTER_INTERVALS = 2.5


def is_unresponsive(
    state: ManagerState, lease: TargetLease, now: Seconds
) -> bool:
    """Tell whether an owner has missed so many answers that it may be lost."""
    settings = state.settings
    grace_period = (
        UNRESPONSIVE_AFTER_INTERVALS * settings.timing.renew_interval_s
    )
    last_answer_at = lease.expires_by - settings.longest_grant
    return now >= last_answer_at + grace_period and bool(
        state.owned_by(lease.name)
    )


def other_guards(
    state: ManagerState,
    lease: TargetLease,
) -> list[DaemonName]:
    """Return the daemons that could replace a target's guard."""
    candidates = state.guards.get(lease.name)
    if candidates is None:
        return []
    return [name for name in candidates.daemons if name != lease.guard]


def has_leaving_guard(state: ManagerState, lease: TargetLease) -> bool:
    """Tell whether the guard of a target is leaving."""
    candidates = state.guards.get(lease.name)
    return candidates is not None and lease.guard in candidates.leaving


def available_targets(
    state: ManagerState,
    now: Seconds,
    withdrawn: Iterable[TargetName] = (),
) -> set[TargetName]:
    """Return the targets that can take ranges, as far as this manager knows."""
    drained = ordered_to_drain(state)
    unusable = {*withdrawn, *drained, *state.leaving, *state.down}
    for lease in state.leases.values():
        if not lease.sealed or lease.is_lost(now):
            unusable.add(lease.name)
    return {
        name
        for name, kind in state.plan.targets.items()
        if name not in unusable and not kind.draining
    }


def leaving_targets(state: ManagerState) -> frozenset[TargetName]:
    """Return the targets of the scope whose ranges must move away."""
    return frozenset(
        name
        for name in state.leases
        if is_leaving(state, name) or name in state.down
    )


def is_leaving(state: ManagerState, target: TargetName) -> bool:
    """Tell whether a target is removed, draining or leaving."""
    kind = state.plan.targets.get(target)
    is_configured_away = kind is None or kind.draining
    is_drained = target in ordered_to_drain(state)
    return is_configured_away or is_drained or target in state.leaving


def ordered_to_drain(state: ManagerState) -> frozenset[TargetName]:
    """Return the targets that operators have ordered to be drained."""
    stored = state.snapshot.head.draining if state.snapshot else ()
    return frozenset(state.draining.union(stored) - state.undrained)
