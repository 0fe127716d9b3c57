"""Anti-entropy: comparison of whole member tables by bucket digests."""

from collections.abc import Iterator

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._digests import (
    bucket_of,
    digest_buckets,
    join_buckets,
    pack_buckets,
    unpack_buckets,
)
from laburnumyard.core.membership._effects import Send
from laburnumyard.core.membership._member import (
    UNKNOWN_INCARNATION,
    Member,
    MemberState,
    record_of,
)
from laburnumyard.core.membership._member_state import own_record
from laburnumyard.core.membership._state import TableState
from laburnumyard.schema._generated import messages

MEMBERS_PER_MESSAGE = 128


def is_shared(member: Member) -> bool:
    """Return whether a member is sent to peers: contacted once and not gone."""
    is_heard = member.identity.incarnation != UNKNOWN_INCARNATION
    return is_heard and member.state is not MemberState.GONE


def own_buckets(state: TableState) -> tuple[int, ...]:
    """Return the digest of each bucket of this daemon's table."""
    return state.directory.cached('buckets', lambda: _compute_buckets(state))


def _compute_buckets(state: TableState) -> tuple[int, ...]:
    return digest_buckets(_shared_records(state))


def _shared_records(state: TableState) -> Iterator[messages.Member]:
    yield own_record(state)
    for member in state.members.values():
        if is_shared(member):
            yield record_of(member)


def own_digest(state: TableState) -> int:
    """Return a single digest of this daemon's whole table."""
    return state.directory.cached(
        'digest',
        lambda: join_buckets(own_buckets(state)),
    )


def compare_with(state: TableState, daemon: DaemonName) -> None:
    """Start a table comparison with a peer, subject to the sync back-off."""
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
    """Send the records in differing buckets, and own digests if requested."""
    theirs = unpack_buckets(digests.buckets)
    if theirs is None:
        return
    mine = own_buckets(state)
    differing = {
        bucket for bucket, digest in enumerate(mine) if digest != theirs[bucket]
    }
    found = tuple(
        record
        for record in _shared_records(state)
        if bucket_of(record.daemon) in differing
    )
    for start in range(0, len(found), MEMBERS_PER_MESSAGE):
        part = found[start : start + MEMBERS_PER_MESSAGE]
        state.effects.append(Send(daemon, messages.Members(members=part)))
    if not differing:
        state.has_joined = True
    if digests.reply:
        send_digests(state, daemon, reply=False)
