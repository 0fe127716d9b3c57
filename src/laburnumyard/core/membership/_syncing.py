"""Comparison of whole member tables by digests."""

from collections.abc import Iterator

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._believing import own_news
from laburnumyard.core.membership._digests import (
    bucket_of,
    digest_buckets,
    join_buckets,
    pack_buckets,
    unpack_buckets,
)
from laburnumyard.core.membership._effects import Send
from laburnumyard.core.membership._member import (
    UNHEARD,
    Member,
    MemberState,
    news_about,
)
from laburnumyard.core.membership._state import TableState
from laburnumyard.schema._generated import messages

# How many members travel in one message.
MEMBERS_PER_MESSAGE = 128


def is_told(member: Member) -> bool:
    """Tell whether others are told of a member: somebody has to have met it."""
    is_heard = member.identity.incarnation != UNHEARD
    return is_heard and member.state is not MemberState.GONE


def own_buckets(state: TableState) -> tuple[int, ...]:
    """Return the digest of each bucket of this daemon's table."""
    return state.directory.recall('buckets', lambda: _find_buckets(state))


def _find_buckets(state: TableState) -> tuple[int, ...]:
    return digest_buckets(_told_members(state))


def _told_members(state: TableState) -> Iterator[messages.Member]:
    yield own_news(state)
    for member in state.members.values():
        if is_told(member):
            yield news_about(member)


def own_digest(state: TableState) -> int:
    """Return one digest of this daemon's table."""
    return state.directory.recall(
        'digest',
        lambda: join_buckets(own_buckets(state)),
    )


def compare_with(state: TableState, daemon: DaemonName) -> None:
    """Start to compare tables with a daemon, unless it was done just now."""
    if state.now < state.schedule.sync:
        return
    settings = state.settings
    pause = max(state.schedule.sync_pause_s, settings.sync_interval_s)
    state.schedule.sync = state.now + pause
    state.schedule.sync_pause_s = min(2 * pause, settings.sync_backoff_s)
    send_digests(state, daemon, reply=True)


def send_digests(state: TableState, daemon: DaemonName, *, reply: bool) -> None:
    """Send the digests of this daemon's table."""
    digests = messages.MemberDigests(
        buckets=pack_buckets(own_buckets(state)),
        reply=reply,
    )
    state.effects.append(Send(daemon, digests))


def answer_digests(
    state: TableState,
    daemon: DaemonName,
    digests: messages.MemberDigests,
) -> None:
    """Send the members of the buckets that differ, or say that none does."""
    theirs = unpack_buckets(digests.buckets)
    if theirs is None:
        return
    mine = own_buckets(state)
    differing = {
        place for place, digest in enumerate(mine) if digest != theirs[place]
    }
    found = tuple(
        news
        for news in _told_members(state)
        if bucket_of(news.daemon) in differing
    )
    for start in range(0, len(found), MEMBERS_PER_MESSAGE):
        part = found[start : start + MEMBERS_PER_MESSAGE]
        state.effects.append(Send(daemon, messages.Members(members=part)))
    if not differing:
        state.has_joined = True
    if digests.reply:
        send_digests(state, daemon, reply=False)
