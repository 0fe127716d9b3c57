"""Graceful handover between guards; the target keeps its ranges.

The leaving guard is asked to release all ranges of the target, as for a move.
Once its requests on them have ended, the head names the next guard.
"""

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._graceful_release import (
    can_release,
    is_released,
)
from laburnumyard.core.ownership._manager_state import ManagerState
from laburnumyard.core.ownership._target_availability import has_leaving_guard
from laburnumyard.core.ownership._target_lease import Release, TargetLease

# Delay before a guard whose requests in flight took too long is asked again.
HANDOVER_RETRY_S = 1.0


def start_handovers(state: ManagerState, now: Seconds) -> None:
    """Ask leaving guards to hand over to next guards that have answered."""
    for lease in state.leases.values():
        owned = state.owned_by(lease.name)
        is_due = (
            has_leaving_guard(state, lease) and now >= lease.next_handover_at
        )
        is_held = lease.sealed and not lease.is_lost(now)
        is_wanted = is_due and is_held and lease.next_guard_answer is not None
        if owned and is_wanted and can_release(state, lease, now):
            lease.release = Release(dict.fromkeys(owned, lease.name), now)
            lease.next_handover_at = Seconds(now + HANDOVER_RETRY_S)


def is_handed_over(
    state: ManagerState,
    lease: TargetLease,
    now: Seconds,
) -> bool:
    """Tell whether a guard has released all ranges for the next one."""
    is_handover = bool(lease.released) and all(
        to == lease.name for to in lease.released.values()
    )
    return is_handover and is_released(state, lease, now)
