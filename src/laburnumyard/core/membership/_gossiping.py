"""Passing news of members on."""

from collections.abc import Iterator

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._believing import own_news, tell
from laburnumyard.core.membership._effects import Send
from laburnumyard.core.membership._member import MemberState, news_about
from laburnumyard.core.membership._state import TableState
from laburnumyard.schema._generated import messages


def gossip(state: TableState) -> None:
    """Send the next batch of news, if one is due."""
    batch = state.rumours.take(state.now)
    if not batch:
        return
    news = messages.Gossip(members=tuple(_news_of(state, batch)))
    live = candidates(state)
    for daemon in sorted(state.rumours.choose(live)):
        state.effects.append(Send(daemon, news))
    _tell_suspects(state, batch, len(live))


def _tell_suspects(
    state: TableState,
    batch: tuple[DaemonName, ...],
    tellers: int,
) -> None:
    """Have a few of all daemons tell a suspected member what is said of it.

    Gossip leaves it out, and whoever suspected it first may not reach it.
    """
    for daemon in batch:
        member = state.members.get(daemon)
        is_suspected = member is not None and member.is_rumoured
        if is_suspected and state.draw() * tellers < state.settings.tellers:
            tell(state, daemon, member)


def candidates(state: TableState) -> tuple[DaemonName, ...]:
    """Return whom to tell: the live members, or anyone known if none is."""
    return state.directory.recall(
        'candidates',
        lambda: _live_others(state) or tuple(state.members),
    )


def _live_others(state: TableState) -> tuple[DaemonName, ...]:
    return tuple(
        daemon
        for daemon, member in state.members.items()
        if member.state is MemberState.LIVE
    )


def _news_of(
    state: TableState,
    batch: tuple[DaemonName, ...],
) -> Iterator[messages.Member]:
    for daemon in batch:
        member = state.members.get(daemon)
        if daemon == state.myself.daemon:
            yield own_news(state)
        elif member is not None:
            yield news_about(member)
