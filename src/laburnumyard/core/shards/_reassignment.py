"""The initial assignment of keys, and the stored form of a move."""

from collections.abc import Collection, Mapping
from operator import attrgetter

from laburnumyard.core.ids import FencingToken, ShardKey, TargetId
from laburnumyard.core.shards._pieces import MAX_SHARD_KEY, FormerHolder, Piece
from laburnumyard.core.shards._settings import ShardSettings
from laburnumyard.core.target_directory import TargetLife


def initial_pieces(
    settings: ShardSettings, lives: Mapping[TargetId, TargetLife]
) -> list[Piece]:
    """Split the keys evenly and assign the pieces round robin.

    Parameters
    ----------
    settings
        The settings; they give the number of pieces per target.
    lives
        The targets; at least one.
    """
    count = len(lives) * settings.pieces_per_target
    count = min(count, settings.max_pieces // 2)
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


def piece_after_move(
    piece: Piece, to: TargetLife, dead: Collection[TargetLife]
) -> Piece:
    """Return a piece to store with a new holder.

    Parameters
    ----------
    piece
        The piece with its current holder.
    to
        The new holder.
    dead
        Target instances that have ended; they hold nothing.
    """
    former_holders = piece.former_holders
    # A piece without a token was never granted and needs no release.
    if piece.token:
        earlier_formers = (
            former for former in former_holders if former.life != piece.holder
        )
        former_holders = (
            *earlier_formers,
            FormerHolder(piece.holder, piece.may_hold_until, piece.token),
        )
    return Piece(
        piece.first,
        piece.last,
        to,
        FencingToken(0),
        former_holders=tuple(
            former
            for former in former_holders
            if former.life not in dead and former.life != to
        ),
    )
