"""Drafts the next head: withdrawn targets, guards and owners of ranges."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from functools import partial

from laburnumyard.core.ids import DaemonName, Seconds, TargetName
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._graceful_release import is_released
from laburnumyard.core.ownership._guard_handover import is_handed_over
from laburnumyard.core.ownership._manager_state import ManagerState
from laburnumyard.core.ownership._placement import (
    choose_owners,
    initial_assignment,
)
from laburnumyard.core.ownership._ranges import merged, reassigned, within
from laburnumyard.core.ownership._service_plan import needs_guard, work_ends_by
from laburnumyard.core.ownership._target_availability import (
    available_targets,
    is_leaving,
    ordered_to_drain,
    other_guards,
)
from laburnumyard.core.ownership._target_lease import TargetLease
from laburnumyard.schema._generated.messages import Assignment, OwnedRange

# A returned target takes ranges again only after it has answered this long, so
# that a target that freezes now and then does not cause a change each time.
REJOIN_DELAY_S = 5.0


@dataclass(slots=True)
class Draft:
    """The parts of the next head that a change may modify.

    Parameters
    ----------
    assignment
        All ranges and their owners.
    withdrawn
        Targets that get no further ranges.
    guards
        The daemon that holds the grants of each target without fencing.
    draining
        Targets that operators have ordered to be drained.
    settling
        Targets that may still be running requests of a former guard.
    frozen
        Targets that get no grant or renewal until the outcome of the swap is
        known.
    """

    assignment: Assignment
    withdrawn: frozenset[TargetName]
    guards: Mapping[TargetName, DaemonName]
    draining: frozenset[TargetName] = frozenset()
    settling: frozenset[TargetName] = frozenset()
    frozen: frozenset[TargetName] = frozenset()

    def is_equivalent(self, other: 'Draft') -> bool:
        """Tell whether both drafts describe the same head."""
        return replace(self, frozen=other.frozen) == other


def reassignable_ranges(
    state: ManagerState,
    lease: TargetLease,
    now: Seconds,
) -> tuple[HashRange, ...]:
    """Return the ranges of a lost target that no holder can still hold."""
    owned = state.owned_by(lease.name)
    has_waited = now >= state.authority.taken_at + state.settings.inherited_wait
    if lease.sealed or has_waited:
        return owned
    return tuple(
        part
        for part in owned
        if not any(part.overlaps(held) for held in lease.inherited_ranges)
    )


def start_draft(state: ManagerState) -> Draft:
    """Return a draft of the newest assignment, or of the initial one."""
    if state.snapshot is None:
        return Draft(initial_assignment(state.plan), frozenset(), {})
    head = state.snapshot.head
    known = {*state.plan.targets, *head.homes}
    return Draft(
        state.snapshot.assignment,
        frozenset(known.intersection(head.withdrawn)),
        {name: head.guards[name] for name in known & head.guards.keys()},
        frozenset(known.intersection(head.draining)),
        frozenset(known.intersection(head.settling)),
    )


def update_withdrawn(state: ManagerState, draft: Draft, now: Seconds) -> None:
    """Update which targets get no further ranges."""
    managed = state.leases.keys()
    draft.draining = (draft.draining - managed) | (
        ordered_to_drain(state) & managed
    )
    for lease in state.leases.values():
        name = lease.name
        is_lost = _is_reassignable(state, lease, now)
        if is_lost or is_leaving(state, name) or name in state.down:
            draft.withdrawn |= {name}
        elif now >= lease.answering_since + REJOIN_DELAY_S:
            draft.withdrawn -= {name}


def replace_guards(state: ManagerState, draft: Draft, now: Seconds) -> None:
    """Assign a guard to each guarded target without a live one."""
    guarded = [
        lease for lease in state.leases.values() if needs_guard(lease.kind)
    ]
    for lease in guarded:
        if now >= lease.former_guard_work_until:
            draft.settling -= {lease.name}
        others = other_guards(state, lease)
        has_released = is_handed_over(state, lease, now)
        is_free = (
            not lease.guard
            or has_released
            or _has_expired_guard(state, lease, now)
        )
        if others and is_free:
            _replace_guard(draft, lease, others[0])


def _replace_guard(
    draft: Draft,
    lease: TargetLease,
    guard: DaemonName,
) -> None:
    draft.guards = {**draft.guards, lease.name: guard}
    draft.frozen |= {lease.name}
    if lease.guard:
        draft.settling |= {lease.name}


def reassign_lost(
    state: ManagerState,
    draft: Draft,
    now: Seconds,
) -> dict[HashRange, TargetName]:
    """Reassign the ranges of lost targets; return the new owners."""
    parts: list[HashRange] = []
    for lease in state.leases.values():
        if _is_reassignable(state, lease, now):
            parts.extend(reassignable_ranges(state, lease, now))
            draft.frozen |= {lease.name}
    available = available_targets(state, now, draft.withdrawn)
    owners = choose_owners(draft.assignment, parts, state.plan, available)
    draft.assignment = reassigned(draft.assignment, owners)
    return owners


def reassign_released(
    state: ManagerState,
    draft: Draft,
    now: Seconds,
) -> dict[HashRange, TargetName]:
    """Reassign released ranges; return the new owners."""
    available = available_targets(state, now, draft.withdrawn)
    owners: dict[HashRange, TargetName] = {}
    unplaced: list[HashRange] = []
    for part, to in _released_parts(state, now):
        if to in available:
            owners[part] = to
        elif to is None:
            unplaced.append(part)
    draft.assignment = reassigned(draft.assignment, owners)
    chosen = choose_owners(draft.assignment, unplaced, state.plan, available)
    draft.assignment = reassigned(draft.assignment, chosen)
    return owners | chosen


def _released_parts(
    state: ManagerState,
    now: Seconds,
) -> Iterator[tuple[HashRange, TargetName | None]]:
    """Yield released ranges and their new owners, without guard handovers."""
    for lease in state.leases.values():
        if is_released(state, lease, now):
            for part, to in lease.released.items():
                if to != lease.name:
                    yield part, to


def merge_ranges(state: ManagerState, draft: Draft) -> None:
    """Merge the adjacent ranges that the planner wants merged."""
    if not state.pending_merges:
        return
    fixed = [part for lease in state.leases.values() for part in lease.released]
    may_merge = partial(_may_merge, state, fixed)
    draft.assignment = merged(draft.assignment, may_merge)


def _may_merge(
    state: ManagerState,
    fixed: list[HashRange],
    left: OwnedRange,
    right: OwnedRange,
) -> bool:
    lease = state.leases.get(TargetName(left.target))
    span = HashRange(left.start, right.last + 1)
    is_wanted = within(span, state.pending_merges)
    is_fixed = any(part.overlaps(span) for part in fixed)
    return bool(lease and lease.sealed and is_wanted and not is_fixed)


def _is_reassignable(
    state: ManagerState,
    lease: TargetLease,
    now: Seconds,
) -> bool:
    if not lease.is_lost(now) or other_guards(state, lease):
        return False
    return now >= work_ends_by(lease.kind, lease.expires_by)


def _has_expired_guard(
    state: ManagerState, lease: TargetLease, now: Seconds
) -> bool:
    owned = state.owned_by(lease.name)
    is_movable = reassignable_ranges(state, lease, now) == owned
    return lease.is_lost(now) and is_movable
