"""Ranges of shard keys, their holders and how far each grant has come."""

from collections.abc import Collection
from dataclasses import dataclass, field, replace
from enum import Enum

from laburnumyard.core.directory import TargetLife
from laburnumyard.core.ids import FencingToken, Seconds, ShardKey

MAX_SHARD_KEY = 65_535


class Phase(Enum):
    """How far the holder of a piece has come."""

    # A former holder may still hold keys of the piece.
    RELEASING = 'releasing'
    # Nobody else holds it; the holder has not confirmed its grant.
    GRANTING = 'granting'
    HELD = 'held'


@dataclass(frozen=True, slots=True)
class Former:
    """A target that may still hold a piece.

    Parameters
    ----------
    life
        The target's start.
    until
        When its grant has run out for certain.
    """

    life: TargetLife
    until: Seconds


@dataclass(slots=True, eq=False, weakref_slot=True)
class Piece:
    """A range of keys with one holder.

    Parameters
    ----------
    first, last
        The keys of the piece; both belong to it.
    holder
        The target that holds it, or is about to.
    token
        The fencing token of the holder's grant.
    phase
        How far the grant has come.
    formers
        Targets that have to release the piece first.
    handover
        What the last holder gave along when it released the piece.
    held_until
        Until when the holder holds it at least.
    may_hold_until
        Until when the holder may hold it.
    renew_at
        When the grant is due again.
    moved_at
        When the holder changed last.
    is_ordered
        Whether an order for the piece is under way.
    """

    first: ShardKey
    last: ShardKey
    holder: TargetLife
    token: FencingToken
    phase: Phase = Phase.GRANTING
    formers: tuple[Former, ...] = ()
    handover: str = ''
    held_until: float = 0
    may_hold_until: float = 0
    renew_at: float = 0
    moved_at: float = 0
    is_ordered: bool = False

    def is_in_force(self, now: Seconds) -> bool:
        """Whether the holder serves the piece."""
        return self.phase is Phase.HELD and now < self.held_until

    def is_due(self, now: Seconds) -> bool:
        """Whether the holder needs a grant, or a renewal of it."""
        return self.phase is Phase.GRANTING or now >= self.renew_at

    def drop_ended(self, dead: Collection[TargetLife], now: Seconds) -> None:
        """Wait no more for former holders that hold nothing for certain."""
        self.formers = tuple(
            former
            for former in self.formers
            if former.life not in dead and now < former.until
        )
        if not self.formers:
            self.phase = Phase.GRANTING

    def note_released(self, life: TargetLife, handover: str) -> None:
        """Take in that a former holder gave the piece back."""
        self.formers = tuple(
            former for former in self.formers if former.life != life
        )
        self.handover = handover or self.handover
        if not self.formers:
            self.phase = Phase.GRANTING

    def split(self, last: ShardKey) -> 'Piece':
        """Keep the keys up to one, and return the rest as a piece."""
        rest = replace(self, first=ShardKey(last + 1), is_ordered=False)
        self.last = last
        return rest


@dataclass(frozen=True, slots=True)
class Move:
    """A piece goes to another holder."""

    piece: Piece
    to: TargetLife


@dataclass(frozen=True, slots=True)
class Grant:
    """Order to a target to hold a piece."""

    piece: Piece
    life: TargetLife
    first: ShardKey
    last: ShardKey
    token: FencingToken
    hold_s: Seconds
    handover: str
    sent_at: Seconds


@dataclass(frozen=True, slots=True)
class Release:
    """Order to a target to give a piece back."""

    piece: Piece
    life: TargetLife
    first: ShardKey
    last: ShardKey
    token: FencingToken


Order = Grant | Release


class Reply(Enum):
    """What came of an order."""

    DONE = 'done'
    # The target has seen a higher fencing token.
    FENCED = 'fenced'
    # The order is malformed in the eyes of the target.
    REJECTED = 'rejected'
    # Nothing listens at the address, or another target does.
    GONE = 'gone'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Assignment:
    """All pieces as the store keeps them.

    Parameters
    ----------
    revision
        The revision of the write that saved them.
    pieces
        By their keys, without gaps.
    """

    revision: int
    pieces: tuple[Piece, ...] = field(default=())
