"""What can be done for a target's loss before its grant has expired."""

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._chunks import new_chunks, split_assignment
from laburnumyard.core.ownership._effects import Effect, PrepareChunks
from laburnumyard.core.ownership._head_draft import (
    move_lost,
    start_draft,
    withdraw,
)
from laburnumyard.core.ownership._lease import ForeseenLoss
from laburnumyard.core.ownership._manager_state import ManagerState
from laburnumyard.core.ownership._target_availability import is_silent

# How long the ranges of a lost target wait, so that those of others that were
# lost at the same moment move in the same swap.
GATHER_TIME = 0.05


def prepare(state: ManagerState, now: Seconds) -> list[Effect]:
    """Have the chunks written that the loss of silent targets will need.

    Only the head decides who owns what, so a chunk that it never names does
    nothing. The swap alone is then left for when the grants have expired.

    Parameters
    ----------
    state
        The manager; no change is under way.
    now
        The time.

    Returns
    -------
    list of Effect
        The write, once for each set of silent targets.
    """
    silent = {
        lease.name: lease.expires_by
        for lease in state.leases.values()
        if is_silent(state, lease, now)
    }
    foreseen = ForeseenLoss(state.version, frozenset(silent))
    if not silent or foreseen == state.foreseen:
        return []
    state.foreseen = foreseen
    return _write(state, max(silent.values()))


def is_gathering(state: ManagerState, now: Seconds) -> bool:
    """Tell whether a lost target waits for others that expire with it."""
    ends = _gathering_ends(state, now)
    return any(
        now < lease.expires_by <= ends for lease in state.leases.values()
    )


def gathering_ends(state: ManagerState, now: Seconds) -> list[Seconds]:
    """Return when targets lost just now stop waiting for others."""
    ends = _gathering_ends(state, now)
    return [ends] if ends > now else []


def _gathering_ends(state: ManagerState, now: Seconds) -> Seconds:
    ends = [
        Seconds(lease.expires_by + GATHER_TIME)
        for lease in state.leases.values()
        if lease.is_lost(now) and state.owned_by(lease.name)
    ]
    return min(ends, default=now)


def _write(state: ManagerState, lost_by: Seconds) -> list[Effect]:
    draft = start_draft(state)
    withdraw(state, draft, lost_by)
    if not move_lost(state, draft, lost_by) or state.snapshot is None:
        return []
    chunks = split_assignment(draft.assignment)
    snapshot = state.snapshot
    fresh = new_chunks(chunks, snapshot.head)
    return [PrepareChunks(fresh, snapshot.revision)]
