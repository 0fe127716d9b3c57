"""Builds the changes of the head: takeovers and new assignments."""

from collections.abc import Mapping
from dataclasses import dataclass

from laburnumyard.core.ids import (
    ChangeId,
    DataCentre,
    Seconds,
    TargetName,
    Term,
    Version,
)
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._chunks import new_chunks, split_assignment
from laburnumyard.core.ownership._effects import Detail, LogDecision, SwapHead
from laburnumyard.core.ownership._head import Head, Scope
from laburnumyard.core.ownership._head_draft import (
    Draft,
    merge_ranges,
    reassign_lost,
    reassign_released,
    replace_guards,
    start_draft,
    update_withdrawn,
)
from laburnumyard.core.ownership._manager_state import (
    Change,
    ConformanceBasis,
    ManagerState,
)
from laburnumyard.core.ownership._plan_conformance import conform_to_plan


@dataclass(frozen=True, slots=True)
class DueChange:
    """A change that is due, and the log line about it."""

    change: Change
    log: LogDecision


def swap_effect(change: Change) -> SwapHead:
    """Return the effect that swaps the head for a change."""
    return SwapHead(
        change.change,
        change.revision,
        change.head,
        change.chunks,
    )


def takeover_change(state: ManagerState, now: Seconds) -> Change:
    """Return the change that takes over the scope with a new term."""
    authority = state.authority
    highest = authority.highest_term
    if state.snapshot:
        highest = max(highest, state.snapshot.head.highest_term)
    authority.term = Term(highest + 1)
    authority.never_granted = _targets_without_grants(state)
    return _build_change(state, start_draft(state), now)


def _targets_without_grants(state: ManagerState) -> frozenset[TargetName]:
    """Return the targets to which no manager can have granted anything yet.

    In a scope without any earlier manager these are all targets, except those
    whose home is another data centre: the configuration moved them here, and
    the manager of their home may have granted to them.
    """
    if state.scope is not None:
        return frozenset()
    here = state.settings.data_centre
    homes = state.snapshot.head.homes if state.snapshot else {}
    return frozenset(
        name for name in state.plan.targets if homes.get(name, here) == here
    )


def due_change(state: ManagerState, now: Seconds) -> DueChange | None:
    """Return the change of the assignment that is due, if any."""
    draft = start_draft(state)
    basis = ConformanceBasis(state.version, state.plan)
    update_withdrawn(state, draft, now)
    replace_guards(state, draft, now)
    lost = reassign_lost(state, draft, now)
    released = reassign_released(state, draft, now)
    merge_ranges(state, draft)
    is_fully_owned = state.conformed_basis == basis or conform_to_plan(
        state, draft, now
    )
    if draft.is_equivalent(start_draft(state)):
        state.conformed_basis = basis if is_fully_owned else None
        return None
    change = _build_change(state, draft, now)
    details = (
        Detail('version', str(change.head.version)),
        Detail('lost', _format_owners(lost)),
        Detail('released', _format_owners(released)),
        Detail('withdrawn', ','.join(sorted(draft.withdrawn))),
    )
    return DueChange(change, LogDecision('assign', details))


def _build_change(state: ManagerState, draft: Draft, now: Seconds) -> Change:
    settings = state.settings
    state.change_count += 1
    change = ChangeId(
        f'{settings.daemon}/{settings.incarnation}/{settings.data_centre}/'
        f'{state.change_count}',
    )
    stored = state.snapshot.head if state.snapshot else None
    chunks = split_assignment(draft.assignment)
    scope = Scope(
        state.authority.term,
        settings.daemon,
        settings.incarnation,
        change,
    )
    scopes = dict(stored.scopes) if stored else {}
    head = Head(
        version=Version(state.version + 1),
        change=change,
        chunks=tuple(chunk.digest for chunk in chunks),
        scopes={**scopes, settings.data_centre: scope},
        homes=_homes(state, draft),
        withdrawn=tuple(sorted(draft.withdrawn)),
        guards=draft.guards,
        draining=tuple(sorted(draft.draining)),
        settling=tuple(sorted(draft.settling)),
    )
    return Change(
        change=change,
        revision=state.snapshot.revision if state.snapshot else None,
        head=head,
        assignment=draft.assignment,
        chunks=new_chunks(chunks, stored),
        sent_at=now,
        frozen=draft.frozen,
    )


def _homes(
    state: ManagerState,
    draft: Draft,
) -> dict[TargetName, DataCentre]:
    # A target keeps the home at which it got its first range, even if the
    # configuration moves it: the manager of that home holds its grants.
    homes = {
        name: kind.data_centre for name, kind in state.plan.targets.items()
    }
    if state.snapshot:
        homes.update(state.snapshot.head.homes)
    owning = {TargetName(owned.target) for owned in draft.assignment.ranges}
    return {name: homes[name] for name in sorted(owning)}


def _format_owners(owners: Mapping[HashRange, TargetName]) -> str:
    return ','.join(
        f'{part.start:x}:{target}' for part, target in owners.items()
    )
