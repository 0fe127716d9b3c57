"""Adapts the current assignment to a new configuration."""

from itertools import pairwise

from laburnumyard.core.ids import Seconds, TargetName
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._head_draft import Draft
from laburnumyard.core.ownership._manager_state import ManagerState
from laburnumyard.core.ownership._placement import choose_owners
from laburnumyard.core.ownership._ranges import (
    coalesce,
    hash_range,
    reassigned,
    subtract,
)
from laburnumyard.core.ownership._target_availability import available_targets
from laburnumyard.schema._generated.messages import Assignment


def conform_to_plan(state: ManagerState, draft: Draft, now: Seconds) -> bool:
    """Split ranges at the edges of key ranges, and assign unowned hashes.

    Parameters
    ----------
    state
        The state of the manager.
    draft
        The draft to change. Hashes that have an owner keep it.
    now
        The current time, in seconds.

    Returns
    -------
    bool
        Whether every hash of the key ranges has an owner.
    """
    spans = [key_range.span for key_range in state.plan.key_ranges]
    edges = {edge for span in spans for edge in (span.start, span.stop)}
    draft.assignment = _split_at_edges(state, draft.assignment, edges)
    owned = coalesce(map(hash_range, draft.assignment.ranges))
    holes = subtract(spans, owned)
    available = available_targets(state, now, draft.withdrawn)
    owners = choose_owners(draft.assignment, holes, state.plan, available)
    draft.assignment = reassigned(draft.assignment, owners)
    return len(owners) == len(holes)


def _split_at_edges(
    state: ManagerState,
    assignment: Assignment,
    edges: set[int],
) -> Assignment:
    pieces: dict[HashRange, TargetName] = {}
    for owned in assignment.ranges:
        part = hash_range(owned)
        name = TargetName(owned.target)
        inner = {edge for edge in edges if part.start < edge < part.stop}
        lease = state.leases.get(name)
        if inner and lease and lease.sealed and not lease.release:
            bounds = [part.start, *sorted(inner), part.stop]
            for start, stop in pairwise(bounds):
                pieces[HashRange(start, stop)] = name
    return reassigned(assignment, pieces)
