"""Seals the likely next guard of a target whose guard is lost or leaving.

A manager grants to a holder only what is proved by a head that was requested
after the holder's first answer. A next guard that answers before the swap that
names it gets its grant after the swap alone, without another read of the head.
"""

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._effects import Effect
from laburnumyard.core.ownership._events import TargetAnswer
from laburnumyard.core.ownership._manager_state import ManagerState
from laburnumyard.core.ownership._service_plan import needs_guard
from laburnumyard.core.ownership._target_availability import (
    has_leaving_guard,
    is_unresponsive,
    other_guards,
)
from laburnumyard.core.ownership._target_lease import (
    NextGuardAnswer,
    TargetLease,
)
from laburnumyard.core.ownership._target_messages import SendSeal


def seal_next_guard(
    state: ManagerState,
    lease: TargetLease,
    now: Seconds,
) -> list[Effect]:
    """Return a seal for the daemon that will replace a guard."""
    others = other_guards(state, lease)
    is_wanted = (
        needs_guard(lease.kind) and others and not _is_frozen(state, lease)
    )
    is_replacement_likely = is_unresponsive(
        state, lease, now
    ) or has_leaving_guard(state, lease)
    if not is_wanted or not is_replacement_likely:
        return []
    state.call_count += 1
    seal = SendSeal(
        lease.name,
        others[0],
        state.call_count,
        state.authority.term,
        state.message_deadline(now),
    )
    return [seal]


def record_next_guard_answer(
    state: ManagerState,
    lease: TargetLease,
    answer: TargetAnswer,
    now: Seconds,
) -> None:
    """Record the answer of a daemon that may become a target's guard.

    Each answer counts as the first of its process, because the daemon may have
    been restarted since its previous answer. An answer that arrives after the
    swap was sent comes too late as a proof and is dropped.
    """
    if _is_frozen(state, lease) or not answer.accepted:
        return
    is_newer = (
        lease.next_guard_answer is None
        or answer.call > lease.next_guard_answer.answer.call
    )
    is_candidate = answer.guard in other_guards(state, lease)
    if is_newer and is_candidate and answer.term == state.authority.term:
        lease.next_guard_answer = NextGuardAnswer(answer, now)


def _is_frozen(state: ManagerState, lease: TargetLease) -> bool:
    return state.change is not None and lease.name in state.change.frozen
