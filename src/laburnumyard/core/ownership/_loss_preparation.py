"""Prepares the reassignment of a target's ranges before its grant expires."""

from laburnumyard.core.ids import Seconds
from laburnumyard.core.ownership._chunks import new_chunks, split_assignment
from laburnumyard.core.ownership._effects import Effect, PrepareChunks
from laburnumyard.core.ownership._head_draft import (
    reassign_lost,
    start_draft,
    update_withdrawn,
)
from laburnumyard.core.ownership._manager_state import ManagerState
from laburnumyard.core.ownership._target_availability import is_unresponsive
from laburnumyard.core.ownership._target_lease import PreparedLoss

# Delay of the reassignment of a lost target's ranges, so that targets lost at
# the same time are handled by one swap.
LOSS_BATCH_S = 0.05


def prepare_chunks_for_loss(state: ManagerState, now: Seconds) -> list[Effect]:
    """Write in advance the chunks that the loss of unresponsive targets needs.

    Only the head determines the owners, so a chunk that no head refers to has
    no effect. Once the grants have expired, only the swap remains to be made.

    Parameters
    ----------
    state
        The manager; no swap is pending.
    now
        The current time, in seconds.

    Returns
    -------
    list of Effect
        The write, once for each set of unresponsive targets.
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
    """Tell whether a lost target waits for others that expire soon after."""
    ends = _batch_end(state, now)
    return any(
        now < lease.expires_by <= ends for lease in state.leases.values()
    )


def batch_ends(state: ManagerState, now: Seconds) -> list[Seconds]:
    """Return when the targets lost most recently stop waiting for others."""
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
