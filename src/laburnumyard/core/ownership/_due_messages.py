"""Builds the seals, grants and renewals that are due."""

from laburnumyard.core.ids import Seconds, Sequence
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._effects import Effect
from laburnumyard.core.ownership._manager_state import ManagerState, Phase
from laburnumyard.core.ownership._next_guard import seal_next_guard
from laburnumyard.core.ownership._ranges import coalesce, subtract, within
from laburnumyard.core.ownership._service_plan import needs_guard
from laburnumyard.core.ownership._target_lease import (
    GrantBasis,
    GrantState,
    TargetLease,
)
from laburnumyard.core.ownership._target_messages import (
    SendGrant,
    SendRenew,
    SendSeal,
)

MS_PER_SECOND = 1000


def due_messages(state: ManagerState, now: Seconds) -> list[Effect]:
    """Return the messages that are due, and schedule the next ones."""
    if not state.may_send(now):
        return []
    effects: list[Effect] = []
    for lease in state.leases.values():
        if not _is_addressable(state, lease):
            continue
        is_frozen = state.change and lease.name in state.change.frozen
        if lease.sealed and not is_frozen:
            _refresh_grant(state, lease, now)
        if now >= lease.next_message_at:
            lease.next_message_at = Seconds(
                now + state.settings.timing.renew_interval_s
            )
            effects.append(_message(state, lease, now))
            effects.extend(seal_next_guard(state, lease, now))
    return effects


def _is_addressable(state: ManagerState, lease: TargetLease) -> bool:
    is_configured = lease.name in state.plan.targets
    is_guarded = bool(lease.guard) or not needs_guard(lease.kind)
    return is_configured and is_guarded


def renewals_while_retiring(state: ManagerState, now: Seconds) -> list[Effect]:
    """Return the due renewals of a manager that has been replaced."""
    for lease in tuple(state.leases.values()):
        is_held = lease.sealed and lease.grant_state.is_acknowledged
        if lease.is_lost(now) or not is_held:
            state.leases.pop(lease.name)
    if not state.leases:
        state.authority.phase = Phase.IDLE
    due = [one for one in state.leases.values() if now >= one.next_message_at]
    if not state.may_send(now):
        return []
    for lease in due:
        lease.next_message_at = Seconds(
            now + state.settings.timing.renew_interval_s
        )
    return [_message(state, one, now) for one in due]


def _refresh_grant(
    state: ManagerState,
    lease: TargetLease,
    now: Seconds,
) -> None:
    is_confirmed_since_answer = is_confirmed_since_first_answer(state, lease)
    reported_ranges = (
        () if is_confirmed_since_answer else lease.grant_state.reported_ranges
    )
    basis = GrantBasis(
        state.version, lease.release, is_confirmed_since_answer, reported_ranges
    )
    if basis == lease.basis:
        return
    lease.basis = basis
    wanted = _grantable_ranges(state, lease)
    grant_state = lease.grant_state
    if grant_state.granted_ranges is None or set(
        grant_state.granted_ranges
    ) != set(wanted):
        grant_state.granted_ranges = wanted
        grant_state.sequence = Sequence(grant_state.sequence + 1)
        lease.next_message_at = now


def _grantable_ranges(
    state: ManagerState,
    lease: TargetLease,
) -> tuple[HashRange, ...]:
    wanted = subtract(state.owned_by(lease.name), lease.released)
    if is_confirmed_since_first_answer(state, lease):
        return wanted
    # The holder's process may be newer than this manager's view of the store:
    # until the head has been read again, it keeps only the ranges it holds.
    reported_ranges = coalesce(lease.grant_state.reported_ranges)
    return tuple(part for part in wanted if within(part, reported_ranges))


def is_confirmed_since_first_answer(
    state: ManagerState, lease: TargetLease
) -> bool:
    """Tell whether the store confirmed the term after the first answer."""
    first_answer_at = lease.first_answer_at
    return (
        first_answer_at is not None
        and first_answer_at <= state.authority.confirmed_at
    )


def _message(state: ManagerState, lease: TargetLease, now: Seconds) -> Effect:
    is_frozen = state.change and lease.name in state.change.frozen
    grant_state = lease.grant_state
    state.call_count += 1
    if not lease.sealed or lease.is_lost(now) or is_frozen:
        return _seal(state, lease, now)
    if grant_state.is_acknowledged:
        return _renewal(state, lease, now)
    return _grant(state, lease, grant_state, now)


def _seal(state: ManagerState, lease: TargetLease, now: Seconds) -> Effect:
    return SendSeal(
        lease.name,
        lease.guard,
        state.call_count,
        state.authority.term,
        state.message_deadline(now),
    )


def _grant(
    state: ManagerState,
    lease: TargetLease,
    grant_state: GrantState,
    now: Seconds,
) -> Effect:
    return SendGrant(
        lease.name,
        lease.guard,
        state.call_count,
        state.authority.term,
        grant_state.sequence,
        lease.clock_ms,
        _lifetime_ms(state),
        grant_state.granted_ranges or (),
        state.message_deadline(now),
    )


def _renewal(state: ManagerState, lease: TargetLease, now: Seconds) -> Effect:
    return SendRenew(
        lease.name,
        lease.guard,
        state.call_count,
        state.authority.term,
        lease.grant_state.sequence,
        lease.clock_ms,
        _lifetime_ms(state),
        state.message_deadline(now),
    )


def _lifetime_ms(state: ManagerState) -> int:
    return int(state.settings.timing.grant_life_s * MS_PER_SECOND)
