"""Keeps the leases of a manager in line with the targets of its scope."""

from laburnumyard.core.ids import Seconds, TargetName
from laburnumyard.core.ownership._lease_update import update_lease
from laburnumyard.core.ownership._manager_state import ManagerState
from laburnumyard.core.ownership._service_plan import (
    FencedTarget,
    work_ends_by,
)
from laburnumyard.core.ownership._target_lease import DISTANT_PAST, TargetLease

# Renewal intervals in which a target must answer a manager that could not send.
RESUME_GRACE_INTERVALS = 2


def sync_leases(state: ManagerState, now: Seconds) -> None:
    """Create, update and remove leases: one for each target of the scope."""
    names = _targets_of_scope(state)
    for removed in state.leases.keys() - names:
        state.leases.pop(removed)
    for name in sorted(names):
        lease = state.leases.get(name)
        if lease is None:
            lease = _new_lease(state, name, now)
            state.leases[name] = lease
        lease.kind = state.plan.targets.get(name, lease.kind)
        _update_guard(state, lease, now)


def extend_leases_after_suspension(state: ManagerState, now: Seconds) -> None:
    """Contact every target again before regarding it as lost.

    While a manager cannot send, no target answers; missing answers from that
    time do not show that a target is lost.
    """
    interval = state.settings.timing.renew_interval_s
    grace_end = Seconds(now + RESUME_GRACE_INTERVALS * interval)
    for lease in state.leases.values():
        lease.expires_by = max(lease.expires_by, grace_end)
        lease.next_message_at = now


def _targets_of_scope(state: ManagerState) -> set[TargetName]:
    home = state.settings.data_centre
    homes = state.snapshot.head.homes if state.snapshot else {}
    owning = {name for name, place in homes.items() if place == home}
    configured = {
        name
        for name, kind in state.plan.targets.items()
        if kind.data_centre == home and name not in homes
    }
    return owning | configured


def _new_lease(
    state: ManagerState,
    name: TargetName,
    now: Seconds,
) -> TargetLease:
    head = state.snapshot.head if state.snapshot else None
    unknown = FencedTarget(state.settings.data_centre)
    kind = state.plan.targets.get(name, unknown)
    expires_by = Seconds(now + state.settings.longest_grant)
    is_settling = head is not None and name in head.settling
    return TargetLease(
        name=name,
        kind=kind,
        guard=head.guards.get(name) if head else None,
        expires_by=expires_by,
        former_guard_work_until=work_ends_by(kind, expires_by)
        if is_settling
        else DISTANT_PAST,
        last_answered_call=state.call_count,
    )


def _update_guard(
    state: ManagerState,
    lease: TargetLease,
    now: Seconds,
) -> None:
    head = state.snapshot.head if state.snapshot else None
    guard = head.guards.get(lease.name) if head else None
    if guard == lease.guard:
        return
    if lease.guard:
        lease.former_guard_work_until = work_ends_by(
            lease.kind, lease.expires_by
        )
    lease.guard = guard
    lease.reset_holder()
    lease.release = None
    lease.inherited_ranges = ()
    lease.expires_by = Seconds(now + state.settings.longest_grant)
    lease.next_message_at = DISTANT_PAST
    _apply_next_guard_answer(state, lease)


def _apply_next_guard_answer(state: ManagerState, lease: TargetLease) -> None:
    next_guard_answer = lease.next_guard_answer
    lease.next_guard_answer = None
    if next_guard_answer and next_guard_answer.answer.guard == lease.guard:
        update_lease(
            state,
            lease,
            next_guard_answer.answer,
            next_guard_answer.received_at,
        )
    # Ignore answers to messages that were sent to the former guard.
    lease.last_answered_call = state.call_count
