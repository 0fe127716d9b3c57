"""Updates the lease of a target from its answer."""

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._due_messages import (
    is_confirmed_since_first_answer,
)
from laburnumyard.core.ownership._events import TargetAnswer
from laburnumyard.core.ownership._manager_state import ManagerState
from laburnumyard.core.ownership._target_lease import TargetLease


def update_lease(
    state: ManagerState,
    lease: TargetLease,
    answer: TargetAnswer,
    now: Seconds,
) -> None:
    """Update a lease from an answer with this manager's term or a lower one.

    Parameters
    ----------
    state
        The state of the manager.
    lease
        The lease to update.
    answer
        The answer; its term is at most the manager's.
    now
        When the answer arrived, in seconds of the manager's clock.
    """
    term = state.authority.term
    state.has_no_due_work = _is_unchanged_renewal(state, lease, answer, now)
    lease.last_answered_call = answer.call
    was_lost = lease.is_lost(now)
    has_restarted = lease.sealed and answer.term < term
    if (
        has_restarted
        or answer.sequence < lease.grant_state.acknowledged_sequence
    ):
        lease.reset_holder()
    if lease.first_answer_at is None:
        lease.first_answer_at = now
        lease.answering_since = now
    if was_lost:
        lease.answering_since = now
    lease.clock_ms = answer.clock_ms
    lease.expires_by = Seconds(
        max(lease.expires_by, now + state.settings.longest_grant),
    )
    if answer.ranges is not None:
        lease.grant_state.reported_ranges = answer.ranges
    lease.grant_state.requests_in_flight = answer.busy
    if answer.term == term:
        _record_token(lease, answer)
    else:
        # The target has not been sealed with this term yet: seal it at once.
        lease.next_message_at = now


def _is_unchanged_renewal(
    state: ManagerState,
    lease: TargetLease,
    answer: TargetAnswer,
    now: Seconds,
) -> bool:
    # Most answers only carry a newer clock reading and need no further work
    # before the next tick.
    grant_state = lease.grant_state
    is_known = lease.sealed and is_confirmed_since_first_answer(state, lease)
    is_steady = is_known and grant_state.is_acknowledged and not lease.release
    is_same = (
        answer.term == state.authority.term
        and answer.sequence == grant_state.acknowledged_sequence
    )
    return bool(is_steady and is_same and not lease.is_lost(now))


def _record_token(lease: TargetLease, answer: TargetAnswer) -> None:
    grant_state = lease.grant_state
    if not lease.sealed:
        lease.sealed = True
        lease.inherited_ranges = ()
    grant_state.sequence = max(grant_state.sequence, answer.sequence)
    grant_state.acknowledged_sequence = answer.sequence
