"""Grants that were sent and not answered, and how long they may hold keys."""

from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from dataclasses import replace
from operator import attrgetter

from laburnumyard.core.ids import Seconds
from laburnumyard.core.shards._pieces import (
    Grant,
    Order,
    Piece,
    Reply,
    is_outdated,
)
from laburnumyard.core.target_directory import TargetLife

# Replies that state that the target did not apply the grant.
NOT_APPLIED = frozenset((Reply.FENCED, Reply.REJECTED, Reply.GONE))


class UnansweredGrants:
    """Grants whose arrival time at the target is not bounded yet.

    A sender may be paused between building a grant and writing it, and a link
    may delay it, so the time at which it was built does not bound how long the
    target holds the keys. Its reply, or the end of the wait for one, does.
    """

    def __init__(self) -> None:
        """Start without grants."""
        self.grants: set[Grant] = set()

    def add(self, order: Order) -> None:
        """Record that an order is about to be written to its target.

        Only grants are kept: a release extends no hold.
        """
        if isinstance(order, Grant):
            self.grants.add(order)

    def discard(self, order: Order) -> None:
        """Forget an order that was not sent, so that another can be due."""
        if isinstance(order, Grant):
            self.grants.discard(order)
        if not is_outdated(order):
            order.piece.has_order_in_flight = False

    def lives(self, piece: Piece) -> frozenset[TargetLife]:
        """Return the targets with an unanswered grant of keys of a piece."""
        return frozenset(
            grant.life for grant in self.grants if _overlaps(grant, piece)
        )

    def settle(
        self,
        grant: Grant,
        reply: Reply,
        hold_until: Seconds,
        pieces: Sequence[Piece],
    ) -> None:
        """Extend the counted holds after the reply to a grant.

        Parameters
        ----------
        grant
            The grant.
        reply
            The reply, ``Reply.UNKNOWN`` without one.
        hold_until
            When the grant has certainly expired if it arrived just now.
        pieces
            All pieces of the current assignment, ordered by key.
        """
        if grant not in self.grants:
            return
        self.grants.remove(grant)
        if reply in NOT_APPLIED:
            return
        start = bisect_left(pieces, grant.first, key=attrgetter('last'))
        stop = bisect_right(pieces, grant.last, key=attrgetter('first'))
        for piece in pieces[start:stop]:
            if piece.holder == grant.life:
                piece.may_hold_until = max(piece.may_hold_until, hold_until)
            piece.former_holders = tuple(
                replace(former, until=max(former.until, hold_until))
                if former.life == grant.life
                else former
                for former in piece.former_holders
            )


def _overlaps(grant: Grant, piece: Piece) -> bool:
    return grant.first <= piece.last and piece.first <= grant.last
