"""Sending of gossip about members."""

from collections.abc import Iterator

from laburnumyard.core.ids import DaemonName
from laburnumyard.core.membership._effects import Send
from laburnumyard.core.membership._member import MemberState, record_of
from laburnumyard.core.membership._member_state import own_record, send_record
from laburnumyard.core.membership._state import TableState
from laburnumyard.schema._generated import messages


def gossip(state: TableState) -> None:
    """Send the next batch of member records, if one is due."""
    batch = state.gossip_queue.take_batch(state.now)
    if not batch:
        return
    message = messages.Gossip(members=tuple(_records_of(state, batch)))
    live = candidates(state)
    for daemon in sorted(state.gossip_queue.choose_recipients(live)):
        state.effects.append(Send(daemon, message))
    _notify_suspects(state, batch, len(live))


def _notify_suspects(
    state: TableState,
    batch: tuple[DaemonName, ...],
    notifier_count: int,
) -> None:
    """Send suspected members their own record, so that they can refute it.

    Gossip goes to live members only, and the daemon that first suspected a
    member may be unable to reach it, so each daemon sends with a probability
    that gives `suspect_notifiers` senders on average.
    """
    for daemon in batch:
        member = state.members.get(daemon)
        is_suspected = member is not None and member.is_gossiped_suspect
        if (
            is_suspected
            and state.draw() * notifier_count < state.settings.suspect_notifiers
        ):
            send_record(state, daemon, member)


def candidates(state: TableState) -> tuple[DaemonName, ...]:
    """Return the gossip recipients: live members, or all if none is live."""
    return state.directory.cached(
        'candidates',
        lambda: _live_others(state) or tuple(state.members),
    )


def _live_others(state: TableState) -> tuple[DaemonName, ...]:
    return tuple(
        daemon
        for daemon, member in state.members.items()
        if member.state is MemberState.LIVE
    )


def _records_of(
    state: TableState,
    batch: tuple[DaemonName, ...],
) -> Iterator[messages.Member]:
    for daemon in batch:
        member = state.members.get(daemon)
        if daemon == state.local_identity.daemon:
            yield own_record(state)
        elif member is not None:
            yield record_of(member)
