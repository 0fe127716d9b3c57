"""Which targets can take ranges, and which are to lose theirs."""

from collections.abc import Iterable

from laburnumyard.core.ids import Seconds, TargetName
from laburnumyard.core.ownership._state import ManagerState


def available_targets(
    state: ManagerState,
    now: Seconds,
    withdrawn: Iterable[TargetName] = (),
) -> set[TargetName]:
    """Return the targets that can take ranges, as far as is known here."""
    drained = said_to_leave(state)
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
    """Return the targets of the scope whose ranges are to move away."""
    return frozenset(
        name
        for name in state.leases
        if is_leaving(state, name) or name in state.down
    )


def is_leaving(state: ManagerState, target: TargetName) -> bool:
    """Tell whether a target's ranges are to move away."""
    kind = state.plan.targets.get(target)
    is_configured_away = kind is None or kind.draining
    is_drained = target in said_to_leave(state)
    return is_configured_away or is_drained or target in state.leaving


def said_to_leave(state: ManagerState) -> frozenset[TargetName]:
    """Return the targets that operators have ordered to be emptied."""
    stored = state.snapshot.head.draining if state.snapshot else ()
    return frozenset(state.draining.union(stored) - state.staying)
