"""State transitions of a member, and the records and logs they cause."""

from dataclasses import replace

from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.core.membership._effects import Decision, LogDecision, Send
from laburnumyard.core.membership._member import (
    UNKNOWN_INCARNATION,
    Identity,
    Member,
    MemberState,
    record_of,
)
from laburnumyard.core.membership._state import TableState
from laburnumyard.schema._generated import messages


def add_member(state: TableState, identity: Identity) -> Member:
    """Add an unknown member; it stays suspected until first contact."""
    member = Member(identity, MemberState.SUSPECTED, state.now)
    member.next_probe_at = state.now
    member.probe_pause_s = state.settings.probe_first_s
    state.members[identity.daemon] = member
    state.suspects[identity.daemon] = member
    state.directory.note_change()
    return member


def update_state(state: TableState, member: Member) -> None:
    """Recompute a member's state and apply the change, if any."""
    state.directory.note_change()
    derived_state = member.derived_state()
    if derived_state is not member.state:
        change_state(state, member, derived_state)


def change_state(
    state: TableState,
    member: Member,
    member_state: MemberState,
) -> None:
    """Set a member's state and update its probes and heartbeat monitoring."""
    daemon = member.identity.daemon
    member.state = member_state
    member.changed_at = state.now
    state.suspects.pop(daemon, None)
    if member_state is MemberState.SUSPECTED:
        wait = state.settings.gossiped_probe_delay_s * (1 + state.draw()) / 2
        member.next_probe_at = state.now + wait
        member.probe_pause_s = state.settings.probe_first_s
        state.suspects[daemon] = member
    if member_state is not MemberState.LIVE:
        state.failure_detector.stop(daemon)
    state.directory.note_change()
    log(state, Decision.STATE_CHANGED, member)


def suspect(state: TableState, member: Member) -> None:
    """Suspect a member that this daemon cannot reach directly."""
    if member.is_leaving or member.state is MemberState.GONE:
        return
    if member.unreachable_since is None:
        member.unreachable_since = state.now
    if (
        not member.is_gossiped_suspect
        and member.identity.incarnation != UNKNOWN_INCARNATION
    ):
        _gossip_suspicion(state, member)
    update_state(state, member)
    member.next_probe_at = state.now + member.probe_pause_s
    member.probe_pause_s = _next_probe_pause(state, member)


def _next_probe_pause(state: TableState, member: Member) -> float:
    """Return the next pause between probes, in seconds.

    A member that only this daemon suspects is most likely alive, so its pause
    stays constant; otherwise it grows exponentially.
    """
    settings = state.settings
    if not member.is_gossiped_suspect:
        return settings.probe_first_s
    return min(2 * member.probe_pause_s, settings.probe_backoff_s)


def _gossip_suspicion(state: TableState, member: Member) -> None:
    """Gossip a suspicion, with exponential back-off between repetitions.

    A member that only this daemon cannot reach refutes every suspicion; without
    the back-off, suspicion and refutation would alternate forever.
    """
    if state.now < member.next_suspicion_at:
        return
    settings = state.settings
    pause = max(member.suspicion_pause_s, settings.suspicion_pause_s)
    member.next_suspicion_at = state.now + pause
    member.suspicion_pause_s = min(2 * pause, settings.suspicion_pause_max_s)
    member.is_gossiped_suspect = True
    state.gossip_queue.add(member.identity.daemon)
    send_record(state, member.identity.daemon, member)


def record_contact(
    state: TableState,
    daemon: DaemonName,
    incarnation: Incarnation,
) -> Member | None:
    """Record direct contact with a member.

    Returns
    -------
    Member or None
        None if the incarnation is outdated or the member is unknown.
    """
    state.last_contact_at = state.now
    member = state.members.get(daemon)
    if member is None:
        return None
    if incarnation < member.identity.incarnation:
        send_record(state, daemon, member)
        return None
    if incarnation > member.identity.incarnation:
        member.restart(replace(member.identity, incarnation=incarnation))
        state.directory.note_change()
    member.heard_at = state.now
    if member.state is not MemberState.LIVE:
        mark_reachable(state, member)
    return member


def mark_reachable(state: TableState, member: Member) -> None:
    """Clear the suspicion of a member that was contacted again."""
    if member.is_gossiped_suspect:
        send_record(state, member.identity.daemon, member)
    member.is_gossiped_suspect = False
    member.unreachable_since = None
    update_state(state, member)


def send_record(state: TableState, daemon: DaemonName, member: Member) -> None:
    """Send the record of a member to a daemon, often its own record."""
    message = messages.Gossip(members=(record_of(member),))
    state.effects.append(Send(daemon, message))


def own_record(state: TableState) -> messages.Member:
    """Return the record of this daemon that it sends to peers."""
    identity = state.local_identity
    return messages.Member(
        daemon=identity.daemon,
        incarnation=identity.incarnation,
        data_centre=identity.data_centre,
        region=identity.region,
        peer_address=identity.address,
        leaving=state.directory.is_leaving,
        suspected=False,
        refutation=state.refutation,
    )


def refute(state: TableState, refutation: int) -> None:
    """Gossip a refutation above the given one to clear a suspicion."""
    state.refutation = max(state.refutation, refutation) + 1
    state.directory.note_change()
    state.gossip_queue.add(state.local_identity.daemon)
    log_own(state, Decision.REFUTED)


def log(state: TableState, decision: Decision, member: Member) -> None:
    """Request a log line for a decision about another member."""
    identity = member.identity
    state.effects.append(
        LogDecision(
            decision,
            identity.daemon,
            identity.incarnation,
            member.state,
        ),
    )


def log_own(state: TableState, decision: Decision) -> None:
    """Request a log line for a decision about this daemon."""
    identity = state.local_identity
    leaves = state.directory.is_leaving
    state.effects.append(
        LogDecision(
            decision,
            identity.daemon,
            identity.incarnation,
            MemberState.LEAVING if leaves else MemberState.LIVE,
        ),
    )
