"""Handling of member records received from peers."""

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._effects import Decision, Probe
from laburnumyard.core.membership._member import (
    Member,
    adopt_record,
    identity_from_record,
    merge_record,
)
from laburnumyard.core.membership._member_state import (
    add_member,
    log_own,
    refute,
    update_state,
)
from laburnumyard.core.membership._state import TableState
from laburnumyard.schema._generated import messages


def apply_record(state: TableState, record: messages.Member) -> bool:
    """Apply a received record, and return whether it was new."""
    if record.daemon == state.local_identity.daemon:
        _apply_own_record(state, record)
        return False
    member = state.members.get(DaemonName(record.daemon))
    if member is None:
        return _add_from_record(state, record)
    if _contradicts_own_contact(state, member, record):
        _probe_instead(state, member)
        return False
    if not merge_record(member, record):
        return False
    update_state(state, member)
    return True


def _add_from_record(state: TableState, record: messages.Member) -> bool:
    """Add an unknown member, up to `members_limit`."""
    is_full = len(state.members) >= state.settings.members_limit
    if is_full or not record.daemon or not record.peer_address:
        return False
    member = add_member(state, identity_from_record(record))
    adopt_record(member, record)
    update_state(state, member)
    return True


def _contradicts_own_contact(
    state: TableState,
    member: Member,
    record: messages.Member,
) -> bool:
    """Return whether a suspicion contradicts a recent direct contact."""
    is_mere_suspicion = (
        record.suspected
        and not record.leaving
        and record.incarnation == member.identity.incarnation
    )
    if not is_mere_suspicion or member.heard_at is None:
        return False
    if member.unreachable_since is not None:
        return False
    settings = state.settings
    window = settings.misses_to_suspect * settings.watcher_interval_s
    return state.now - member.heard_at < window


def _probe_instead(state: TableState, member: Member) -> None:
    """Probe a member instead of accepting a suspicion, once per interval."""
    if state.now >= member.next_probe_at:
        member.next_probe_at = state.now + state.settings.watcher_interval_s
        state.effects.append(Probe(member.identity.daemon))


def _apply_own_record(state: TableState, record: messages.Member) -> None:
    own = state.local_identity.incarnation
    if record.incarnation > own:
        if not state.is_superseded:
            state.is_superseded = True
            state.directory.is_leaving = True
            state.directory.note_change()
            log_own(state, Decision.SUPERSEDED)
    elif record.incarnation == own and record.suspected:
        if record.refutation >= state.refutation:
            refute(state, record.refutation)
