"""Which message each target of a scope is due."""

from laburnumyard.core.ids import Seconds, Sequence
from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._effects import Effect
from laburnumyard.core.ownership._lease import (
    GrantBasis,
    Holding,
    TargetLease,
)
from laburnumyard.core.ownership._manager_state import ManagerState, Phase
from laburnumyard.core.ownership._next_guard import meet_next_guard
from laburnumyard.core.ownership._ranges import joined, subtract, within
from laburnumyard.core.ownership._service_plan import needs_guard
from laburnumyard.core.ownership._target_messages import (
    SendGrant,
    SendRenew,
    SendSeal,
)

MS_PER_SECOND = 1000


def due_messages(state: ManagerState, now: Seconds) -> list[Effect]:
    """Return the messages that are due, and note them as sent."""
    if not state.is_confirmed(now):
        return []
    effects: list[Effect] = []
    for lease in state.leases.values():
        if not _has_address(state, lease):
            continue
        is_frozen = state.change and lease.name in state.change.frozen
        if lease.sealed and not is_frozen:
            _refresh_grant(state, lease, now)
        if now >= lease.send_at:
            lease.send_at = Seconds(
                now + state.settings.timing.renew_interval_s
            )
            effects.append(_message(state, lease, now))
            effects.extend(meet_next_guard(state, lease, now))
    return effects


def _has_address(state: ManagerState, lease: TargetLease) -> bool:
    is_configured = lease.name in state.plan.targets
    is_guarded = bool(lease.guard) or not needs_guard(lease.kind)
    return is_configured and is_guarded


def last_renewals(state: ManagerState, now: Seconds) -> list[Effect]:
    """Return the due renewals of a manager that has a successor."""
    for lease in tuple(state.leases.values()):
        is_held = lease.sealed and lease.holding.is_acknowledged
        if lease.is_lost(now) or not is_held:
            state.leases.pop(lease.name)
    if not state.leases:
        state.authority.phase = Phase.IDLE
    due = [one for one in state.leases.values() if now >= one.send_at]
    if not state.is_confirmed(now):
        return []
    for lease in due:
        lease.send_at = Seconds(now + state.settings.timing.renew_interval_s)
    return [_message(state, one, now) for one in due]


def _refresh_grant(
    state: ManagerState,
    lease: TargetLease,
    now: Seconds,
) -> None:
    is_met = is_met_before_contact(state, lease)
    reported = () if is_met else lease.holding.reported
    basis = GrantBasis(state.version, lease.release, is_met, reported)
    if basis == lease.basis:
        return
    lease.basis = basis
    wanted = _grantable(state, lease)
    holding = lease.holding
    if holding.ranges is None or set(holding.ranges) != set(wanted):
        holding.ranges = wanted
        holding.sequence = Sequence(holding.sequence + 1)
        lease.send_at = now


def _grantable(
    state: ManagerState,
    lease: TargetLease,
) -> tuple[HashRange, ...]:
    wanted = subtract(state.owned_by(lease.name), lease.released)
    if is_met_before_contact(state, lease):
        return wanted
    # Its process may be newer than this manager's knowledge of the store:
    # until the head has been read again, it only keeps what it holds.
    reported = joined(lease.holding.reported)
    return tuple(part for part in wanted if within(part, reported))


def is_met_before_contact(state: ManagerState, lease: TargetLease) -> bool:
    """Tell whether the store named this manager after it met the target."""
    met_at = lease.met_at
    return met_at is not None and met_at <= state.authority.contact


def _message(state: ManagerState, lease: TargetLease, now: Seconds) -> Effect:
    is_frozen = state.change and lease.name in state.change.frozen
    holding = lease.holding
    state.call_count += 1
    if not lease.sealed or lease.is_lost(now) or is_frozen:
        return _seal(state, lease, now)
    if holding.is_acknowledged:
        return _renewal(state, lease, now)
    return _grant(state, lease, holding, now)


def _seal(state: ManagerState, lease: TargetLease, now: Seconds) -> Effect:
    return SendSeal(
        lease.name,
        lease.guard,
        state.call_count,
        state.authority.term,
        state.stale_at(now),
    )


def _grant(
    state: ManagerState,
    lease: TargetLease,
    holding: Holding,
    now: Seconds,
) -> Effect:
    return SendGrant(
        lease.name,
        lease.guard,
        state.call_count,
        state.authority.term,
        holding.sequence,
        lease.clock_ms,
        _lifetime_ms(state),
        holding.ranges or (),
        state.stale_at(now),
    )


def _renewal(state: ManagerState, lease: TargetLease, now: Seconds) -> Effect:
    return SendRenew(
        lease.name,
        lease.guard,
        state.call_count,
        state.authority.term,
        lease.holding.sequence,
        lease.clock_ms,
        _lifetime_ms(state),
        state.stale_at(now),
    )


def _lifetime_ms(state: ManagerState) -> int:
    return int(state.settings.timing.grant_life_s * MS_PER_SECOND)
