"""How evidence changes what is believed of a member."""

from dataclasses import replace

from laburnumyard.core.ids import DaemonName, Incarnation
from laburnumyard.core.membership._effects import Decision, LogDecision, Send
from laburnumyard.core.membership._member import (
    UNHEARD,
    Identity,
    Member,
    MemberState,
    news_about,
)
from laburnumyard.core.membership._state import TableState
from laburnumyard.schema._generated import messages


def add_member(state: TableState, identity: Identity) -> Member:
    """Add a member that was not known; it is suspected until it is heard."""
    member = Member(identity, MemberState.SUSPECTED, state.now)
    member.probe_at = state.now
    member.probe_pause_s = state.settings.probe_first_s
    state.members[identity.daemon] = member
    state.suspects[identity.daemon] = member
    state.directory.note_change()
    return member


def settle(state: TableState, member: Member) -> None:
    """Give a member the state that follows from what is known of it."""
    state.directory.note_change()
    belief = member.belief()
    if belief is not member.state:
        change_state(state, member, belief)


def change_state(
    state: TableState,
    member: Member,
    belief: MemberState,
) -> None:
    """Change the state of a member and what hangs on it."""
    daemon = member.identity.daemon
    member.state = belief
    member.changed_at = state.now
    state.suspects.pop(daemon, None)
    if belief is MemberState.SUSPECTED:
        wait = state.settings.hearsay_probe_s * (1 + state.draw()) / 2
        member.probe_at = state.now + wait
        member.probe_pause_s = state.settings.probe_first_s
        state.suspects[daemon] = member
    if belief is not MemberState.LIVE:
        state.watches.stop(daemon)
    state.directory.note_change()
    log(state, Decision.STATE_CHANGED, member)


def suspect(state: TableState, member: Member) -> None:
    """Suspect a member that this daemon itself can't reach."""
    if member.is_leaving or member.state is MemberState.GONE:
        return
    if member.silent_since is None:
        member.silent_since = state.now
    if not member.is_rumoured and member.identity.incarnation != UNHEARD:
        _start_rumour(state, member)
    settle(state, member)
    member.probe_at = state.now + member.probe_pause_s
    member.probe_pause_s = _next_probe_pause(state, member)


def _next_probe_pause(state: TableState, member: Member) -> float:
    """Return the next pause between probes, in seconds.

    A member that only this daemon suspects is most likely alive, so the pause
    does not grow.
    """
    settings = state.settings
    if not member.is_rumoured:
        return settings.probe_first_s
    return min(2 * member.probe_pause_s, settings.probe_backoff_s)


def _start_rumour(state: TableState, member: Member) -> None:
    """Tell others of a suspicion, but ever more seldom if it is refuted.

    A member that only this daemon fails to reach refutes each rumour; without
    the pause the two would never come to rest.
    """
    if state.now < member.rumour_at:
        return
    settings = state.settings
    pause = max(member.rumour_pause_s, settings.rumour_pause_s)
    member.rumour_at = state.now + pause
    member.rumour_pause_s = min(2 * pause, settings.rumour_pause_max_s)
    member.is_rumoured = True
    state.rumours.add(member.identity.daemon)
    tell(state, member.identity.daemon, member)


def hear(
    state: TableState,
    daemon: DaemonName,
    incarnation: Incarnation,
) -> Member | None:
    """Note that a member was heard directly.

    Returns
    -------
    Member or None
        None if the incarnation is an old one, or the member not known.
    """
    state.heard_anyone_at = state.now
    member = state.members.get(daemon)
    if member is None:
        return None
    if incarnation < member.identity.incarnation:
        tell(state, daemon, member)
        return None
    if incarnation > member.identity.incarnation:
        member.restart(replace(member.identity, incarnation=incarnation))
        state.directory.note_change()
    member.heard_at = state.now
    if member.state is not MemberState.LIVE:
        recover(state, member)
    return member


def recover(state: TableState, member: Member) -> None:
    """Take a member back that is heard again."""
    if member.is_rumoured:
        tell(state, member.identity.daemon, member)
    member.is_rumoured = False
    member.silent_since = None
    settle(state, member)


def tell(state: TableState, daemon: DaemonName, member: Member) -> None:
    """Tell a daemon what is said of a member, often of itself."""
    news = messages.Gossip(members=(news_about(member),))
    state.effects.append(Send(daemon, news))


def own_news(state: TableState) -> messages.Member:
    """Return what this daemon says of itself."""
    identity = state.myself
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
    """Have everyone told that this daemon is alive after all."""
    state.refutation = max(state.refutation, refutation) + 1
    state.directory.note_change()
    state.rumours.add(state.myself.daemon)
    log_own(state, Decision.REFUTED)


def log(state: TableState, decision: Decision, member: Member) -> None:
    """Have a decision about another member logged."""
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
    """Have a decision about this daemon itself logged."""
    identity = state.myself
    leaves = state.directory.is_leaving
    state.effects.append(
        LogDecision(
            decision,
            identity.daemon,
            identity.incarnation,
            MemberState.LEAVING if leaves else MemberState.LIVE,
        ),
    )
