"""The first deal of the keys, and what a move makes of a piece."""

from collections.abc import Collection, Mapping
from operator import attrgetter

from laburnumyard.core.directory import TargetLife
from laburnumyard.core.ids import FencingToken, ShardKey, TargetId
from laburnumyard.core.shards._pieces import MAX_SHARD_KEY, Former, Piece
from laburnumyard.core.shards._settings import ShardSettings


def deal(
    settings: ShardSettings, lives: Mapping[TargetId, TargetLife]
) -> list[Piece]:
    """Cut the keys evenly and deal them to the targets in turn.

    Parameters
    ----------
    settings
        How many pieces each target gets.
    lives
        The targets; at least one.
    """
    count = len(lives) * settings.pieces_per_target
    count = min(count, settings.most_pieces // 2)
    holders = sorted(lives.values(), key=attrgetter('target'))
    width = (MAX_SHARD_KEY + 1) / count
    return [
        Piece(
            ShardKey(round(index * width)),
            ShardKey(round((index + 1) * width) - 1),
            holders[index % len(holders)],
            FencingToken(0),
        )
        for index in range(count)
    ]


def moved_piece(
    piece: Piece, to: TargetLife, dead: Collection[TargetLife]
) -> Piece:
    """Return a piece as it is to be stored with a new holder.

    Parameters
    ----------
    piece
        The piece with its present holder.
    to
        The new holder.
    dead
        Lives that have ended; they hold nothing.
    """
    formers = piece.formers
    # A piece that nobody was told of has no holder to release it.
    if piece.token:
        known = (former for former in formers if former.life != piece.holder)
        formers = (*known, Former(piece.holder, piece.may_hold_until))
    return Piece(
        piece.first,
        piece.last,
        to,
        FencingToken(0),
        formers=tuple(
            former
            for former in formers
            if former.life not in dead and former.life != to
        ),
    )
