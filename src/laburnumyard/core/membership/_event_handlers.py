"""Event handlers of the member table."""

from dataclasses import replace
from functools import singledispatch

from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.core.membership import _events as events
from laburnumyard.core.membership import _local_events as local_events
from laburnumyard.core.membership._anti_entropy import (
    answer_digests,
    compare_with,
    own_digest,
)
from laburnumyard.core.membership._effects import Decision, Probe
from laburnumyard.core.membership._member import (
    UNKNOWN_INCARNATION,
    Member,
    MemberState,
)
from laburnumyard.core.membership._member_state import (
    add_member,
    log_own,
    record_contact,
    suspect,
    update_state,
)
from laburnumyard.core.membership._periodic_tasks import MS_PER_S, tick
from laburnumyard.core.membership._received_records import apply_record
from laburnumyard.core.membership._state import TableState


@singledispatch
def react(event: events.Event, state: TableState) -> None:
    """Apply one event to the state."""
    raise TypeError(f'unsupported member table event: {event!r}')


@react.register
def _(event: local_events.Tick, state: TableState) -> None:
    tick(state)


@react.register
def _(event: local_events.VmListRead, state: TableState) -> None:
    if not state.directory.is_listed:
        state.directory.is_listed = True
        state.directory.note_change()
    state.schedule.listed_rows = event.rows
    listed = {vm.identity.daemon: vm for vm in event.vms}
    listed.pop(state.local_identity.daemon, None)
    for daemon, member in state.members.items():
        member.is_listed = daemon in listed
    for daemon, vm in listed.items():
        found = state.members.get(daemon)
        if found is None:
            unknown_incarnation = replace(
                vm.identity, incarnation=UNKNOWN_INCARNATION
            )
            found = add_member(state, unknown_incarnation)
        _apply_listing(state, found, vm)


def _apply_listing(
    state: TableState,
    member: Member,
    vm: local_events.ListedVm,
) -> None:
    """Mark a member leaving if its VM is, once per incarnation."""
    member.is_listed = True
    known_incarnation = member.identity.incarnation
    if vm.is_leaving and member.listed_leaving != known_incarnation:
        member.listed_leaving = known_incarnation
        member.is_leaving = True
        update_state(state, member)


@react.register
def _(event: local_events.VmListUnavailable, state: TableState) -> None:
    if not state.directory.is_listed:
        state.directory.is_listed = True
        state.directory.note_change()
    state.schedule.vm_list = state.now + state.settings.vm_list_interval_s


@react.register
def _(event: events.HeartbeatReceived, state: TableState) -> None:
    heartbeat = event.heartbeat
    daemon = DaemonName(heartbeat.daemon)
    member = record_contact(state, daemon, Incarnation(heartbeat.incarnation))
    if member is None:
        return
    if heartbeat.leaving and not member.is_leaving:
        member.is_leaving = True
        state.gossip_queue.add(daemon)
        update_state(state, member)
    elif heartbeat.interval_ms and not heartbeat.leaving:
        promised = heartbeat.interval_ms / MS_PER_S
        interval = max(promised, state.settings.deputy_interval_s)
        state.failure_detector.record_heartbeat(daemon, interval, state.now)
    if heartbeat.digest != own_digest(state):
        compare_with(state, daemon)


@react.register
def _(event: events.ProbeAnswered, state: TableState) -> None:
    state.is_stale = False
    if record_contact(state, event.daemon, event.incarnation):
        state.failure_detector.stop(event.daemon)


@react.register
def _(event: events.ProbeFailed, state: TableState) -> None:
    member = state.members.get(event.daemon)
    if member is None:
        return
    if member.state is MemberState.LIVE:
        state.schedule.random_probe = state.now
    suspect(state, member)


@react.register
def _(event: local_events.HelloReceived, state: TableState) -> None:
    state.last_contact_at = state.now
    apply_record(state, event.member)


@react.register
def _(event: events.GossipReceived, state: TableState) -> None:
    state.last_contact_at = state.now
    for record in event.members:
        if apply_record(state, record):
            state.gossip_queue.add(DaemonName(record.daemon))


@react.register
def _(event: events.MembersReceived, state: TableState) -> None:
    state.last_contact_at = state.now
    state.has_joined = True
    if any([apply_record(state, record) for record in event.members]):
        state.schedule.sync_pause_s = 0


@react.register
def _(event: events.DigestsReceived, state: TableState) -> None:
    state.last_contact_at = state.now
    answer_digests(state, event.sender, event.digests)


@react.register
def _(event: local_events.ManagedScopesChanged, state: TableState) -> None:
    state.scopes = event.scopes


@react.register
def _(event: local_events.Leave, state: TableState) -> None:
    if state.directory.is_leaving:
        return
    state.directory.is_leaving = True
    state.directory.note_change()
    state.gossip_queue.add(state.local_identity.daemon)
    state.schedule.deputies = state.now
    state.schedule.watchers = state.now
    log_own(state, Decision.LEAVE_ANNOUNCED)
    tick(state)


@react.register
def _(event: events.LinkLost, state: TableState) -> None:
    member = state.members.get(event.daemon)
    if member is not None and member.state is MemberState.LIVE:
        state.effects.append(Probe(event.daemon))
