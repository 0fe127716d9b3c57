"""What each event does to the member table."""

from dataclasses import replace
from functools import singledispatch

from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.core.membership import _events as events
from laburnumyard.core.membership import _inputs as inputs
from laburnumyard.core.membership._believing import (
    add_member,
    hear,
    log_own,
    settle,
    suspect,
)
from laburnumyard.core.membership._effects import Decision, Probe
from laburnumyard.core.membership._member import (
    UNHEARD,
    Member,
    MemberState,
)
from laburnumyard.core.membership._news import take_news
from laburnumyard.core.membership._state import TableState
from laburnumyard.core.membership._syncing import (
    answer_digests,
    compare_with,
    own_digest,
)
from laburnumyard.core.membership._ticking import MS_PER_S, tick


@singledispatch
def react(event: events.Event, state: TableState) -> None:
    """Take one event."""
    raise TypeError(f'no event of the member table: {event!r}')


@react.register
def _(event: inputs.Tick, state: TableState) -> None:
    tick(state)


@react.register
def _(event: inputs.VmListRead, state: TableState) -> None:
    if not state.directory.is_listed:
        state.directory.is_listed = True
        state.directory.note_change()
    state.schedule.listed_rows = event.rows
    listed = {vm.identity.daemon: vm for vm in event.vms}
    listed.pop(state.myself.daemon, None)
    for daemon, member in state.members.items():
        member.is_listed = daemon in listed
    for daemon, vm in listed.items():
        found = state.members.get(daemon)
        if found is None:
            unheard = replace(vm.identity, incarnation=UNHEARD)
            found = add_member(state, unheard)
        _take_listing(state, found, vm)


def _take_listing(
    state: TableState,
    member: Member,
    vm: inputs.ListedVm,
) -> None:
    """Take the list's word for a leaving VM, once for each incarnation."""
    member.is_listed = True
    known = member.identity.incarnation
    if vm.is_leaving and member.listed_leaving != known:
        member.listed_leaving = known
        member.is_leaving = True
        settle(state, member)


@react.register
def _(event: inputs.VmListUnavailable, state: TableState) -> None:
    if not state.directory.is_listed:
        state.directory.is_listed = True
        state.directory.note_change()
    state.schedule.vm_list = state.now + state.settings.vm_list_interval_s


@react.register
def _(event: events.HeartbeatHeard, state: TableState) -> None:
    heartbeat = event.heartbeat
    daemon = DaemonName(heartbeat.daemon)
    member = hear(state, daemon, Incarnation(heartbeat.incarnation))
    if member is None:
        return
    if heartbeat.leaving and not member.is_leaving:
        member.is_leaving = True
        state.rumours.add(daemon)
        settle(state, member)
    elif heartbeat.interval_ms and not heartbeat.leaving:
        promised = heartbeat.interval_ms / MS_PER_S
        interval = max(promised, state.settings.deputy_interval_s)
        state.watches.hear(daemon, interval, state.now)
    if heartbeat.digest != own_digest(state):
        compare_with(state, daemon)


@react.register
def _(event: events.ProbeAnswered, state: TableState) -> None:
    state.is_stale = False
    if hear(state, event.daemon, event.incarnation):
        state.watches.stop(event.daemon)


@react.register
def _(event: events.ProbeFailed, state: TableState) -> None:
    member = state.members.get(event.daemon)
    if member is None:
        return
    if member.state is MemberState.LIVE:
        state.schedule.scan = state.now
    suspect(state, member)


@react.register
def _(event: inputs.HelloHeard, state: TableState) -> None:
    state.heard_anyone_at = state.now
    take_news(state, event.member)


@react.register
def _(event: events.GossipHeard, state: TableState) -> None:
    state.heard_anyone_at = state.now
    for news in event.members:
        if take_news(state, news):
            state.rumours.add(DaemonName(news.daemon))


@react.register
def _(event: events.MembersHeard, state: TableState) -> None:
    state.heard_anyone_at = state.now
    state.has_joined = True
    if any([take_news(state, news) for news in event.members]):
        state.schedule.sync_pause_s = 0


@react.register
def _(event: events.DigestsHeard, state: TableState) -> None:
    state.heard_anyone_at = state.now
    answer_digests(state, event.sender, event.digests)


@react.register
def _(event: inputs.ScopesHeld, state: TableState) -> None:
    state.scopes = event.scopes


@react.register
def _(event: inputs.Leave, state: TableState) -> None:
    if state.directory.is_leaving:
        return
    state.directory.is_leaving = True
    state.directory.note_change()
    state.rumours.add(state.myself.daemon)
    state.schedule.deputies = state.now
    state.schedule.watchers = state.now
    log_own(state, Decision.LEFT)
    tick(state)


@react.register
def _(event: events.LinkLost, state: TableState) -> None:
    member = state.members.get(event.daemon)
    if member is not None and member.state is MemberState.LIVE:
        state.effects.append(Probe(event.daemon))
