"""What an answer of a target says about its lease."""

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._due_messages import is_met_before_contact
from laburnumyard.core.ownership._events import TargetAnswer
from laburnumyard.core.ownership._lease import TargetLease
from laburnumyard.core.ownership._manager_state import ManagerState


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
    if answer.ranges is not None:
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
