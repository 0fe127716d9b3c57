"""What is due as time passes."""

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._believing import (
    change_state,
    log_own,
    suspect,
)
from laburnumyard.core.membership._effects import (
    Decision,
    Probe,
    ReadVmList,
    SendHeartbeat,
)
from laburnumyard.core.membership._gossiping import candidates, gossip
from laburnumyard.core.membership._member import (
    Member,
    MemberState,
)
from laburnumyard.core.membership._roles import watchers_of
from laburnumyard.core.membership._settings import VM_ENTRY_BYTES
from laburnumyard.core.membership._state import TableState
from laburnumyard.core.membership._syncing import compare_with, own_digest
from laburnumyard.core.membership._watches import Silence
from laburnumyard.schema._generated import messages

MS_PER_S = 1000


def tick(state: TableState) -> None:
    """Do everything that is due."""
    _notice_pause(state)
    _read_vm_list(state)
    _join(state)
    _send_heartbeats(state)
    _check_watched(state)
    _probe_suspect(state)
    _scan(state)
    gossip(state)
    _clean(state)


def _notice_pause(state: TableState) -> None:
    """Find out that the process slept, and what it can't know any more.

    The silence of the others is its own fault, so nobody is suspected for it;
    and others may have suspected it, so it refutes that at once.
    """
    last = state.ticked_at
    state.ticked_at = state.now
    if last is None or state.now - last < state.settings.wake_after_s:
        return
    state.is_stale = True
    state.watches.restart(state.now)
    state.refutation += 1
    state.directory.note_change()
    state.rumours.add(state.myself.daemon)
    state.schedule.sync = state.now
    log_own(state, Decision.WOKE)
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


def _join(state: TableState) -> None:
    """Ask one of the others for its table until one has answered."""
    if state.started_at is None:
        state.started_at = state.now
    if state.has_joined or not state.members:
        return
    state.rumours.add(state.myself.daemon)
    candidates = tuple(state.members)
    chosen = candidates[int(state.draw() * len(candidates))]
    state.schedule.sync_pause_s = 0
    compare_with(state, chosen)


def watchers(state: TableState) -> tuple[DaemonName, ...]:
    """Return who watches this daemon."""
    return state.directory.recall(
        'watchers',
        lambda: watchers_of(
            state.myself,
            state.directory.live(),
            state.settings.watchers_near,
        ),
    )


def deputies(state: TableState) -> set[DaemonName]:
    """Return who takes over what this daemon manages."""
    found: set[DaemonName] = set()
    for scope in state.scopes:
        managers = state.directory.managers_of(scope)
        found.update(
            [name for name in managers if name != state.myself.daemon][:1],
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
        daemon=state.myself.daemon,
        incarnation=state.myself.incarnation,
        sequence=state.sequence,
        leaving=state.directory.is_leaving,
        digest=own_digest(state),
        interval_ms=round(interval_s * MS_PER_S),
        documents=state.documents_digest,
    )
    state.effects.append(SendHeartbeat(daemon, heartbeat))


def _check_watched(state: TableState) -> None:
    for daemon, silence in state.watches.find_silent(state.now):
        if silence is Silence.PROBE:
            state.effects.append(Probe(daemon))
        else:
            suspect(state, state.members[daemon])


def _probe_suspect(state: TableState) -> None:
    """Probe the suspected member that has waited longest."""
    if state.now < state.schedule.probe or not state.suspects:
        return
    chosen = min(state.suspects.values(), key=_probe_time)
    if chosen.probe_at <= state.now:
        state.schedule.probe = state.now + state.settings.probe_interval_s
        chosen.probe_at = state.now + state.settings.probe_backoff_s
        state.effects.append(Probe(chosen.identity.daemon))


def _scan(state: TableState) -> None:
    """Probe any live member now and then.

    This finds losses that nobody has told of, as when a member is lost
    together with all of its watchers.
    """
    if state.now < state.schedule.scan:
        return
    state.schedule.scan = state.now + state.settings.scan_interval_s
    live = candidates(state)
    if live:
        drawn = live[int(state.draw() * len(live))]
        state.effects.append(Probe(drawn))


def _probe_time(member: Member) -> float:
    return member.probe_at


def _clean(state: TableState) -> None:
    """Give up members that are silent and off the list, then forget them."""
    if state.now < state.schedule.cleaning:
        return
    settings = state.settings
    state.schedule.cleaning = state.now + settings.cleaning_interval_s
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
