"""Graceful moves: which ranges a target is asked to stop serving, and when."""

from collections.abc import Collection
from dataclasses import replace

from laburnumyard.core.ids import Seconds, TargetName
from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._lease import Release, TargetLease
from laburnumyard.core.ownership._manager_state import ManagerState
from laburnumyard.core.ownership._placement import destinations, may_own
from laburnumyard.core.ownership._ranges import within
from laburnumyard.core.ownership._target_availability import (
    available_targets,
    has_leaving_guard,
    leaving_targets,
)

# How long keys stay unavailable for a move that could be made later.
RELEASE_PATIENCE = 0.3
# When a leaving target is asked to stop all work at once; it gets no new work
# 3 s after it said so.
DRAIN_ALL_AFTER = 2.0
# How recently the store must have answered when a release begins.
FRESH_CONTACT = 1.0


def is_released(
    state: ManagerState,
    lease: TargetLease,
    now: Seconds,
) -> bool:
    """Tell whether released ranges can be given to another target."""
    release = lease.release
    if release is None or not lease.sealed or not lease.holding.is_acknowledged:
        return False
    if now < lease.work_until:
        return False
    timing = state.settings.timing
    if release.final and now >= release.since + timing.drain_timeout_s:
        return True
    return lease.holding.busy == 0


def give_up_releases(state: ManagerState, now: Seconds) -> None:
    """Let targets keep ranges whose work in flight takes too long.

    A release that is to go on to its end is given up only if its target no
    longer leaves.
    """
    leaving = leaving_targets(state)
    for lease in state.leases.values():
        release = lease.release
        if release is None:
            continue
        is_wanted = release.final and lease.name in leaving
        is_early = now < release.since + RELEASE_PATIENCE
        if not is_wanted and (release.final or not is_early):
            lease.release = None
            lease.passed_over |= set(release.parts)


def start_releases(state: ManagerState, now: Seconds) -> None:
    """Start the next release of each target that has none under way."""
    if state.snapshot is None:
        return
    state.moves = {
        part: move for part, move in state.moves.items() if now < move.drop_at
    }
    leaving = leaving_targets(state)
    withdrawn = state.snapshot.head.withdrawn
    available = available_targets(state, now, withdrawn)
    for lease in state.leases.values():
        if not lease.sealed or lease.is_lost(now):
            continue
        if lease.name in leaving:
            _start_drain(state, lease, available, now)
        else:
            lease.drain_since = None
            _start_move(state, lease, available, now)
    if state.may_be_misplaced:
        _start_misplaced(state, available, now)


def end_releases(state: ManagerState) -> None:
    """Drop what a target was asked to release and no longer owns."""
    for lease in state.leases.values():
        owned = state.owned_by(lease.name)
        parts = {
            part: to
            for part, to in lease.released.items()
            if within(part, owned)
        }
        if lease.release:
            lease.release = replace(lease.release, parts=parts)
        if not parts:
            lease.release = None


def _start_drain(
    state: ManagerState,
    lease: TargetLease,
    available: Collection[TargetName],
    now: Seconds,
) -> None:
    owned = state.owned_by(lease.name)
    if lease.drain_since is None:
        lease.drain_since = now
        lease.passed_over.clear()
    is_late = now >= lease.drain_since + DRAIN_ALL_AFTER
    if is_late or lease.name in state.down:
        _release_all(lease, owned, now)
    elif can_release(state, lease, now):
        open_parts = [part for part in owned if part not in lease.passed_over]
        chosen = _placeable(state, open_parts, available)
        if chosen:
            part = min(chosen)
            lease.release = Release({part: chosen[part]}, now)


def _release_all(
    lease: TargetLease,
    owned: tuple[HashRange, ...],
    now: Seconds,
) -> None:
    is_under_way = lease.release and lease.release.final
    if owned and not is_under_way:
        lease.release = Release(dict.fromkeys(owned), now, final=True)


def _start_move(
    state: ManagerState,
    lease: TargetLease,
    available: Collection[TargetName],
    now: Seconds,
) -> None:
    if not can_release(state, lease, now):
        return
    owned = state.owned_by(lease.name)
    mine = [
        part
        for part in state.moves
        if any(within(part, [whole]) for whole in owned)
    ]
    moves = {part: state.moves.pop(part) for part in mine}
    usable = set(available) - {lease.name}
    parts = {part: move.to for part, move in moves.items() if move.to in usable}
    if parts:
        lease.release = Release(parts, now)


def _start_misplaced(
    state: ManagerState,
    available: Collection[TargetName],
    now: Seconds,
) -> None:
    state.may_be_misplaced = False
    for lease in state.leases.values():
        parts = [
            part
            for part in state.owned_by(lease.name)
            if not may_own(state.plan, lease.name, part)
        ]
        state.may_be_misplaced |= bool(parts)
        chosen = _placeable(state, parts, available)
        is_held = lease.sealed and not lease.is_lost(now)
        if chosen and is_held and can_release(state, lease, now):
            part = min(chosen)
            lease.release = Release({part: chosen[part]}, now)


def can_release(
    state: ManagerState,
    lease: TargetLease,
    now: Seconds,
) -> bool:
    """Tell whether a target may be asked to stop serving ranges."""
    # A release whose swap meets a store that is down leaves keys without an
    # owner until the store is back, so the store must have answered just now.
    is_free = lease.release is None and lease.holding.is_acknowledged
    if now < lease.work_until:
        return False
    return is_free and now < state.authority.contact + FRESH_CONTACT


def _placeable(
    state: ManagerState,
    parts: Collection[HashRange],
    available: Collection[TargetName],
) -> dict[HashRange, TargetName]:
    if state.snapshot is None:
        return {}
    return destinations(
        state.snapshot.assignment,
        parts,
        state.plan,
        available,
    )


def wants_release(state: ManagerState) -> bool:
    """Tell whether a release waits for a fresh contact to the store."""
    if state.moves or state.may_be_misplaced:
        return True
    if any(has_leaving_guard(state, one) for one in state.leases.values()):
        return True
    leases = [state.leases[name] for name in leaving_targets(state)]
    return any(
        state.owned_by(lease.name) and lease.release is None for lease in leases
    )
