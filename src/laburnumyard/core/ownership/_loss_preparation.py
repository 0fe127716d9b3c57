"""What can be done for a target's loss before its grant has expired."""

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._chunks import new_chunks, split_assignment
from laburnumyard.core.ownership._effects import Effect, PrepareChunks
from laburnumyard.core.ownership._head_draft import (
    reassign_lost,
    start_draft,
    update_withdrawn,
)
from laburnumyard.core.ownership._lease import PreparedLoss
from laburnumyard.core.ownership._manager_state import ManagerState
from laburnumyard.core.ownership._target_availability import is_unresponsive

# How long the ranges of a lost target wait, so that those of others that were
# lost at the same moment move in the same swap.
LOSS_BATCH_S = 0.05


def prepare_chunks_for_loss(state: ManagerState, now: Seconds) -> list[Effect]:
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
    unresponsive = {
        lease.name: lease.expires_by
        for lease in state.leases.values()
        if is_unresponsive(state, lease, now)
    }
    prepared_loss = PreparedLoss(state.version, frozenset(unresponsive))
    if not unresponsive or prepared_loss == state.prepared_loss:
        return []
    state.prepared_loss = prepared_loss
    return _prepare_chunks(state, max(unresponsive.values()))


def is_batching_losses(state: ManagerState, now: Seconds) -> bool:
    """Tell whether a lost target waits for others that expire with it."""
    ends = _batch_end(state, now)
    return any(
        now < lease.expires_by <= ends for lease in state.leases.values()
    )


def batch_ends(state: ManagerState, now: Seconds) -> list[Seconds]:
    """Return when targets lost just now stop waiting for others."""
    ends = _batch_end(state, now)
    return [ends] if ends > now else []


def _batch_end(state: ManagerState, now: Seconds) -> Seconds:
    ends = [
        Seconds(lease.expires_by + LOSS_BATCH_S)
        for lease in state.leases.values()
        if lease.is_lost(now) and state.owned_by(lease.name)
    ]
    return min(ends, default=now)


def _prepare_chunks(state: ManagerState, lost_by: Seconds) -> list[Effect]:
    draft = start_draft(state)
    update_withdrawn(state, draft, lost_by)
    if not reassign_lost(state, draft, lost_by) or state.snapshot is None:
        return []
    chunks = split_assignment(draft.assignment)
    snapshot = state.snapshot
    fresh = new_chunks(chunks, snapshot.head)
    return [PrepareChunks(fresh, snapshot.revision)]
