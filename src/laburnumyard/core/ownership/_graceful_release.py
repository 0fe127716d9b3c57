"""Graceful moves: selects the ranges that a target is asked to release."""

from collections.abc import Collection
from dataclasses import replace

from laburnumyard.core.ids import Seconds, TargetName
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._manager_state import ManagerState
from laburnumyard.core.ownership._placement import choose_owners, may_own
from laburnumyard.core.ownership._ranges import within
from laburnumyard.core.ownership._target_availability import (
    available_targets,
    has_leaving_guard,
    leaving_targets,
)
from laburnumyard.core.ownership._target_lease import Release, TargetLease

# Longest unavailability of keys for a move that could be made later.
RELEASE_TIMEOUT_S = 0.3
# Delay after which a leaving target is asked to release all ranges at once; it
# must get no new requests 3 s after it announced that it leaves.
RELEASE_ALL_DELAY_S = 2.0
# A release starts only if the store has answered within this time.
MAX_CONFIRMATION_AGE_S = 1.0


def is_released(
    state: ManagerState,
    lease: TargetLease,
    now: Seconds,
) -> bool:
    """Tell whether the released ranges can be assigned to another target."""
    release = lease.release
    if (
        release is None
        or not lease.sealed
        or not lease.grant_state.is_acknowledged
    ):
        return False
    if now < lease.former_guard_work_until:
        return False
    timing = state.settings.timing
    if (
        release.must_finish
        and now >= release.started_at + timing.drain_timeout_s
    ):
        return True
    return lease.grant_state.requests_in_flight == 0


def cancel_slow_releases(state: ManagerState, now: Seconds) -> None:
    """Cancel releases whose requests in flight take too long.

    A release that must finish is cancelled only if its target is no longer
    leaving.
    """
    leaving = leaving_targets(state)
    for lease in state.leases.values():
        release = lease.release
        if release is None:
            continue
        is_wanted = release.must_finish and lease.name in leaving
        is_early = now < release.started_at + RELEASE_TIMEOUT_S
        if not is_wanted and (release.must_finish or not is_early):
            lease.release = None
            lease.skipped_ranges |= set(release.parts)


def start_releases(state: ManagerState, now: Seconds) -> None:
    """Start the next release of each target that has none in progress."""
    if state.snapshot is None:
        return
    state.pending_moves = {
        part: move
        for part, move in state.pending_moves.items()
        if now < move.expires_at
    }
    leaving = leaving_targets(state)
    withdrawn = state.snapshot.head.withdrawn
    available = available_targets(state, now, withdrawn)
    for lease in state.leases.values():
        if not lease.sealed or lease.is_lost(now):
            continue
        if lease.name in leaving:
            _release_for_drain(state, lease, available, now)
        else:
            lease.drain_since = None
            _release_for_moves(state, lease, available, now)
    if state.may_be_misplaced:
        _release_misplaced(state, available, now)


def prune_releases(state: ManagerState) -> None:
    """Drop the parts of releases that their targets no longer own."""
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


def _release_for_drain(
    state: ManagerState,
    lease: TargetLease,
    available: Collection[TargetName],
    now: Seconds,
) -> None:
    owned = state.owned_by(lease.name)
    if lease.drain_since is None:
        lease.drain_since = now
        lease.skipped_ranges.clear()
    is_late = now >= lease.drain_since + RELEASE_ALL_DELAY_S
    if is_late or lease.name in state.down:
        _release_all(lease, owned, now)
    elif can_release(state, lease, now):
        open_parts = [
            part for part in owned if part not in lease.skipped_ranges
        ]
        chosen = _placeable(state, open_parts, available)
        if chosen:
            part = min(chosen)
            lease.release = Release({part: chosen[part]}, now)


def _release_all(
    lease: TargetLease,
    owned: tuple[HashRange, ...],
    now: Seconds,
) -> None:
    is_under_way = lease.release and lease.release.must_finish
    if owned and not is_under_way:
        lease.release = Release(dict.fromkeys(owned), now, must_finish=True)


def _release_for_moves(
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
        for part in state.pending_moves
        if any(within(part, [whole]) for whole in owned)
    ]
    pending_moves = {part: state.pending_moves.pop(part) for part in mine}
    usable = set(available) - {lease.name}
    parts = {
        part: move.to
        for part, move in pending_moves.items()
        if move.to in usable
    }
    if parts:
        lease.release = Release(parts, now)


def _release_misplaced(
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
    # If the store is down at the swap, released keys have no owner until it
    # returns, so the store must have answered recently.
    is_free = lease.release is None and lease.grant_state.is_acknowledged
    if now < lease.former_guard_work_until:
        return False
    return (
        is_free and now < state.authority.confirmed_at + MAX_CONFIRMATION_AGE_S
    )


def _placeable(
    state: ManagerState,
    parts: Collection[HashRange],
    available: Collection[TargetName],
) -> dict[HashRange, TargetName]:
    if state.snapshot is None:
        return {}
    return choose_owners(
        state.snapshot.assignment,
        parts,
        state.plan,
        available,
    )


def needs_release(state: ManagerState) -> bool:
    """Tell whether a release waits for a recent answer of the store."""
    if state.pending_moves or state.may_be_misplaced:
        return True
    if any(has_leaving_guard(state, one) for one in state.leases.values()):
        return True
    leases = [state.leases[name] for name in leaving_targets(state)]
    return any(
        state.owned_by(lease.name) and lease.release is None for lease in leases
    )
