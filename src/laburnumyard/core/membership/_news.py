"""Taking news that other daemons tell."""

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._believing import (
    add_member,
    log_own,
    refute,
    settle,
)
from laburnumyard.core.membership._effects import Decision, Probe
from laburnumyard.core.membership._member import (
    Member,
    identity_in,
    merge,
    take_beliefs,
)
from laburnumyard.core.membership._state import TableState
from laburnumyard.schema._generated import messages


def take_news(state: TableState, news: messages.Member) -> bool:
    """Take news of one member and tell whether it was new."""
    if news.daemon == state.myself.daemon:
        _take_own_news(state, news)
        return False
    member = state.members.get(DaemonName(news.daemon))
    if member is None:
        return _take_stranger(state, news)
    if _is_doubtful(state, member, news):
        _doubt(state, member)
        return False
    if not merge(member, news):
        return False
    settle(state, member)
    return True


def _take_stranger(state: TableState, news: messages.Member) -> bool:
    """Add a member that was not known, unless there are too many."""
    is_full = len(state.members) >= state.settings.members_limit
    if is_full or not news.daemon or not news.peer_address:
        return False
    member = add_member(state, identity_in(news))
    take_beliefs(member, news)
    settle(state, member)
    return True


def _is_doubtful(
    state: TableState,
    member: Member,
    news: messages.Member,
) -> bool:
    """Tell whether a suspicion contradicts what was heard directly."""
    is_mere_suspicion = (
        news.suspected
        and not news.leaving
        and news.incarnation == member.identity.incarnation
    )
    if not is_mere_suspicion or member.heard_at is None:
        return False
    if member.silent_since is not None:
        return False
    settings = state.settings
    window = settings.misses_to_suspect * settings.watcher_interval_s
    return state.now - member.heard_at < window


def _doubt(state: TableState, member: Member) -> None:
    """Probe a member instead of believing others, once for each interval."""
    if state.now >= member.probe_at:
        member.probe_at = state.now + state.settings.watcher_interval_s
        state.effects.append(Probe(member.identity.daemon))


def _take_own_news(state: TableState, news: messages.Member) -> None:
    own = state.myself.incarnation
    if news.incarnation > own:
        if not state.is_superseded:
            state.is_superseded = True
            state.directory.is_leaving = True
            state.directory.note_change()
            log_own(state, Decision.SUPERSEDED)
    elif news.incarnation == own and news.suspected:
        if news.refutation >= state.refutation:
            refute(state, news.refutation)
