"""Targets that may hold any key, since the stored assignment was lost."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from laburnumyard.core.ids import Seconds
from laburnumyard.core.shards._pieces import FormerHolder, Move, Piece
from laburnumyard.core.target_directory import TargetLife


@dataclass(slots=True)
class UnknownHolders:
    """Target instances that have to release all keys before others get any.

    One order for all keys takes the place of one for each piece.

    Attributes
    ----------
    lives
        The target instances that have not confirmed it.
    """

    lives: set[TargetLife] = field(default_factory=set)

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

    def note_released(self, life: TargetLife, pieces: Iterable[Piece]) -> None:
        """Record that a target has released all keys, or has ended."""
        self.lives.discard(life)
        for piece in pieces:
            if any(former.life == life for former in piece.former_holders):
                piece.record_release(life, '')

    def includes_holder_of(self, piece: Piece) -> bool:
        """Whether the next former holder of a piece releases all keys."""
        return piece.former_holders[0].life in self.lives
