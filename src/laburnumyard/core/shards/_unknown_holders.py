"""Targets that may hold any key, since the stored assignment was lost."""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from itertools import takewhile

from laburnumyard.core.ids import FencingToken, Seconds
from laburnumyard.core.shards._pieces import (
    NO_TOKEN,
    FormerHolder,
    Move,
    Piece,
    RangeRelease,
)
from laburnumyard.core.target_directory import TargetLife


@dataclass(slots=True)
class UnknownHolders:
    """Target instances that have to release all keys before others get any.

    One order for a range of keys takes the place of one for each piece. It ends
    the grants from before the assignment was lost. Keys that a target was
    granted since are left out, and released by orders of their own when they
    move.

    Attributes
    ----------
    lives
        The target instances that have not confirmed it.
    token
        The fencing token of these releases: that of the first assignment after
        the loss.
    """

    lives: set[TargetLife] = field(default_factory=set)
    token: FencingToken = NO_TOKEN

    def expect(
        self,
        pieces: Iterable[Piece],
        lives: Collection[TargetLife],
        until: Seconds,
    ) -> list[Move]:
        """Expect each piece at each target.

        Parameters
        ----------
        pieces
            All pieces.
        lives
            All target instances that may hold keys.
        until
            When their grants have certainly expired, in seconds.

        Returns
        -------
        list of Move
            Moves to store, which fence all earlier grants.
        """
        self.lives = set(lives)
        moves = []
        for piece in pieces:
            piece.former_holders = tuple(
                FormerHolder(life, until) for life in lives
            )
            moves.append(Move(piece, piece.holder))
        return moves

    def next_release(
        self, life: TargetLife, pieces: Sequence[Piece]
    ) -> RangeRelease | None:
        """Return the next order to a target, None if it holds no such keys.

        Parameters
        ----------
        life
            The target instance.
        pieces
            All pieces, ordered by key.
        """
        expected = dict.fromkeys(
            piece for piece in pieces if self._is_expected(life, piece)
        )
        if not expected:
            return None
        first = next(iter(expected)).first
        # The range ends before the next piece that was granted since.
        candidates = takewhile(
            lambda piece: piece.holder != life or not piece.may_be_granted,
            (piece for piece in pieces if piece.first >= first),
        )
        last = max(piece.last for piece in candidates if piece in expected)
        return RangeRelease(life, first, last, self.token)

    def note_released(
        self, order: RangeRelease, pieces: Iterable[Piece]
    ) -> None:
        """Record that a target has released a range of keys."""
        for piece in pieces:
            if order.first <= piece.first and piece.last <= order.last:
                if self._is_expected(order.life, piece):
                    piece.record_release(order.life, '', order.token)

    def unreleased(self, piece: Piece) -> FormerHolder | None:
        """Return a former holder that has to release the piece by itself."""
        for former in piece.former_holders:
            if former.life not in self.lives or former.token >= self.token:
                return former
        return None

    def _is_expected(self, life: TargetLife, piece: Piece) -> bool:
        return any(
            former.life == life and former.token < self.token
            for former in piece.former_holders
        )
