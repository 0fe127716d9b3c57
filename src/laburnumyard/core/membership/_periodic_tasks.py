"""Periodic tasks of the member table."""

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._anti_entropy import compare_with, own_digest
from laburnumyard.core.membership._effects import (
    Decision,
    Probe,
    ReadVmList,
    SendHeartbeat,
)
from laburnumyard.core.membership._failure_detector import SilenceAction
from laburnumyard.core.membership._gossip import candidates, gossip
from laburnumyard.core.membership._member import (
    Member,
    MemberState,
)
from laburnumyard.core.membership._member_state import (
    change_state,
    log_own,
    suspect,
)
from laburnumyard.core.membership._roles import watchers_of
from laburnumyard.core.membership._settings import VM_ENTRY_BYTES
from laburnumyard.core.membership._state import TableState
from laburnumyard.schema._generated import messages

MS_PER_S = 1000


def tick(state: TableState) -> None:
    """Run all tasks that are due."""
    _detect_pause(state)
    _read_vm_list(state)
    _request_first_sync(state)
    _send_heartbeats(state)
    _check_watched(state)
    _probe_suspect(state)
    _probe_random_member(state)
    gossip(state)
    _remove_lost_members(state)


def _detect_pause(state: TableState) -> None:
    """Detect a pause of this process from a late tick, and mark its view stale.

    Heartbeats missed during the pause say nothing about the peers, so their
    timeouts restart. Peers may suspect this daemon, so it refutes immediately.
    """
    last = state.ticked_at
    state.ticked_at = state.now
    if last is None or state.now - last < state.settings.pause_detection_s:
        return
    state.is_stale = True
    state.failure_detector.restart(state.now)
    state.refutation += 1
    state.directory.note_change()
    state.gossip_queue.add(state.local_identity.daemon)
    state.schedule.sync = state.now
    log_own(state, Decision.PAUSE_DETECTED)
    state.effects.extend(map(Probe, watchers(state)))


def _read_vm_list(state: TableState) -> None:
    if state.now < state.schedule.vm_list:
        return
    settings = state.settings
    rows = max(len(state.members), state.schedule.listed_rows)
    answer_bytes = rows * VM_ENTRY_BYTES
    interval = max(
        settings.vm_list_interval_s,
        answer_bytes / settings.vm_list_bytes_per_s,
    )
    state.schedule.vm_list = state.now + interval * (1 + state.draw()) / 2
    state.effects.append(ReadVmList())


def _request_first_sync(state: TableState) -> None:
    """Request the table of a random peer until the first sync completes."""
    if state.started_at is None:
        state.started_at = state.now
    if state.has_joined or not state.members:
        return
    state.gossip_queue.add(state.local_identity.daemon)
    candidates = tuple(state.members)
    chosen = candidates[int(state.draw() * len(candidates))]
    state.schedule.sync_pause_s = 0
    compare_with(state, chosen)


def watchers(state: TableState) -> tuple[DaemonName, ...]:
    """Return the daemons that monitor this daemon's heartbeats."""
    return state.directory.cached(
        'watchers',
        lambda: watchers_of(
            state.local_identity,
            state.directory.live(),
            state.settings.watchers_in_region,
        ),
    )


def deputies(state: TableState) -> set[DaemonName]:
    """Return the daemons that take over this daemon's scopes if it fails."""
    found: set[DaemonName] = set()
    for scope in state.scopes:
        managers = state.directory.managers_of(scope)
        found.update(
            [name for name in managers if name != state.local_identity.daemon][
                :1
            ],
        )
    return found


def _send_heartbeats(state: TableState) -> None:
    settings = state.settings
    fast = deputies(state)
    if state.now >= state.schedule.deputies:
        state.schedule.deputies = state.now + settings.deputy_interval_s
        for daemon in sorted(fast):
            _send_heartbeat(state, daemon, settings.deputy_interval_s)
    if state.now >= state.schedule.watchers:
        state.schedule.watchers = state.now + settings.watcher_interval_s
        for daemon in watchers(state):
            if daemon not in fast:
                _send_heartbeat(state, daemon, settings.watcher_interval_s)


def _send_heartbeat(
    state: TableState,
    daemon: DaemonName,
    interval_s: float,
) -> None:
    state.sequence += 1
    heartbeat = messages.Heartbeat(
        daemon=state.local_identity.daemon,
        incarnation=state.local_identity.incarnation,
        sequence=state.sequence,
        leaving=state.directory.is_leaving,
        digest=own_digest(state),
        interval_ms=round(interval_s * MS_PER_S),
        documents=state.documents_digest,
    )
    state.effects.append(SendHeartbeat(daemon, heartbeat))


def _check_watched(state: TableState) -> None:
    for daemon, silence in state.failure_detector.find_silent(state.now):
        if silence is SilenceAction.PROBE:
            state.effects.append(Probe(daemon))
        else:
            suspect(state, state.members[daemon])


def _probe_suspect(state: TableState) -> None:
    """Probe the suspected member whose probe is the most overdue."""
    if state.now < state.schedule.probe or not state.suspects:
        return
    chosen = min(state.suspects.values(), key=_probe_time)
    if chosen.next_probe_at <= state.now:
        state.schedule.probe = state.now + state.settings.probe_interval_s
        chosen.next_probe_at = state.now + state.settings.probe_backoff_s
        state.effects.append(Probe(chosen.identity.daemon))


def _probe_random_member(state: TableState) -> None:
    """Probe a random live member at intervals.

    This detects failures that no watcher reports, for example when a member
    fails together with all of its watchers.
    """
    if state.now < state.schedule.random_probe:
        return
    state.schedule.random_probe = (
        state.now + state.settings.random_probe_interval_s
    )
    live = candidates(state)
    if live:
        drawn = live[int(state.draw() * len(live))]
        state.effects.append(Probe(drawn))


def _probe_time(member: Member) -> float:
    return member.next_probe_at


def _remove_lost_members(state: TableState) -> None:
    """Mark unreachable, unlisted members gone, and later remove them."""
    if state.now < state.schedule.cleanup:
        return
    settings = state.settings
    state.schedule.cleanup = state.now + settings.cleanup_interval_s
    for daemon, member in tuple(state.members.items()):
        age = state.now - member.changed_at
        if member.state is MemberState.GONE:
            if age >= settings.forget_after_s:
                del state.members[daemon]
        elif age >= settings.gone_after_s and _is_lost(member):
            change_state(state, member, MemberState.GONE)


def _is_lost(member: Member) -> bool:
    if member.is_listed:
        return False
    return member.state in {MemberState.SUSPECTED, MemberState.LEAVING}
