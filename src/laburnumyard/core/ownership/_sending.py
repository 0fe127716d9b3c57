"""Which message each target of a scope is due, and what its answer means."""

from laburnumyard.core.ids import Seconds, Sequence
from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._effects import Effect
from laburnumyard.core.ownership._events import TargetAnswer
from laburnumyard.core.ownership._lease import (
    GrantBasis,
    Holding,
    TargetLease,
)
from laburnumyard.core.ownership._messages import (
    SendGrant,
    SendRenew,
    SendSeal,
)
from laburnumyard.core.ownership._ranges import joined, subtract, within
from laburnumyard.core.ownership._state import ManagerState, Phase

MS_PER_SECOND = 1000


def due_messages(state: ManagerState, now: Seconds) -> list[Effect]:
    """Return the messages that are due, and note them as sent."""
    if not state.is_confirmed(now):
        return []
    effects: list[Effect] = []
    for lease in state.leases.values():
        if lease.name not in state.plan.targets:
            continue
        is_frozen = state.change and lease.name in state.change.frozen
        if lease.sealed and not is_frozen:
            _refresh_grant(state, lease, now)
        if now >= lease.send_at:
            lease.send_at = Seconds(
                now + state.settings.timing.renew_interval_s
            )
            effects.append(_message(state, lease, now))
    return effects


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


def take_answer(
    state: ManagerState,
    lease: TargetLease,
    answer: TargetAnswer,
    now: Seconds,
) -> None:
    """Note what a target has answered under this manager's term or a lower.

    Parameters
    ----------
    state
        The manager.
    lease
        What it knows about the target.
    answer
        The answer; its term is at most the manager's.
    now
        When it arrived.
    """
    term = state.authority.term
    state.is_settled = _is_routine(state, lease, answer, now)
    lease.answered = answer.call
    was_lost = lease.is_lost(now)
    has_restarted = lease.sealed and answer.term < term
    if has_restarted or answer.sequence < lease.holding.acknowledged:
        lease.forget()
    if lease.met_at is None:
        lease.met_at = now
        lease.answering_since = now
    if was_lost:
        lease.answering_since = now
    lease.clock_ms = answer.clock_ms
    lease.expires_by = Seconds(
        max(lease.expires_by, now + state.settings.longest_grant),
    )
    lease.holding.reported = answer.ranges
    lease.holding.busy = answer.busy
    if answer.term == term:
        _take_token(lease, answer)
    else:
        # It has not been sealed: do so at once.
        lease.send_at = now


def _is_routine(
    state: ManagerState,
    lease: TargetLease,
    answer: TargetAnswer,
    now: Seconds,
) -> bool:
    # Most answers only carry a newer reading of the clock, and nothing else
    # need be looked at before the next tick.
    holding = lease.holding
    is_known = lease.sealed and is_met_before_contact(state, lease)
    is_steady = is_known and holding.is_acknowledged and not lease.release
    is_same = (
        answer.term == state.authority.term
        and answer.sequence == holding.acknowledged
    )
    return bool(is_steady and is_same and not lease.is_lost(now))


def _take_token(lease: TargetLease, answer: TargetAnswer) -> None:
    holding = lease.holding
    if not lease.sealed:
        lease.sealed = True
        lease.inherited = ()
    holding.sequence = max(holding.sequence, answer.sequence)
    holding.acknowledged = answer.sequence


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
        _not_after(state, now),
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
        _not_after(state, now),
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
        _not_after(state, now),
    )


def _lifetime_ms(state: ManagerState) -> int:
    return int(state.settings.timing.grant_life_s * MS_PER_SECOND)


def _not_after(state: ManagerState, now: Seconds) -> Seconds:
    return Seconds(now + state.settings.timing.renew_interval_s)
