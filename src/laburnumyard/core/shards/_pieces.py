"""Ranges of shard keys with their holders, grants and orders."""

from collections.abc import Collection
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import ClassVar

from laburnumyard.core.ids import FencingToken, Seconds, ShardKey
from laburnumyard.core.target_directory import TargetLife

MAX_SHARD_KEY = 65_535
NO_TOKEN = FencingToken(0)


class Phase(Enum):
    """State of the grant of a piece."""

    # A former holder may still hold keys of the piece.
    RELEASING = 'releasing'
    # No other target holds it; the holder has not confirmed its grant.
    GRANTING = 'granting'
    HELD = 'held'


@dataclass(frozen=True, slots=True)
class FormerHolder:
    """A target that may still hold a piece.

    Parameters
    ----------
    life
        The target instance.
    until
        When its grant has certainly expired, in seconds.
    token
        Highest fencing token with which it may hold the piece.
    """

    life: TargetLife
    until: Seconds
    token: FencingToken = NO_TOKEN


@dataclass(slots=True, eq=False, weakref_slot=True)
class Piece:
    """A range of keys with one holder.

    Parameters
    ----------
    first, last
        The first and last key of the piece, inclusive.
    holder
        The target that holds it, or will hold it.
    token
        The fencing token of the holder's grant.
    phase
        The state of the grant.
    former_holders
        Former holders that have to release the piece first.
    handover
        Data that the last holder returned with its release.
    held_until
        Time until which the holder certainly holds it.
    may_hold_until
        Time until which the holder may hold it.
    renew_at
        When the grant has to be renewed.
    moved_at
        When the holder last changed.
    may_be_granted
        Whether the holder may have been sent a grant with this token.
    has_order_in_flight
        Whether an order for the piece is in flight.
    is_replaced
        Whether the stored assignment was read again since; the pieces that
        were read replace this one, which gets no further orders.
    """

    first: ShardKey
    last: ShardKey
    holder: TargetLife
    token: FencingToken
    phase: Phase = Phase.GRANTING
    former_holders: tuple[FormerHolder, ...] = ()
    handover: str = ''
    held_until: float = 0
    may_hold_until: float = 0
    renew_at: float = 0
    moved_at: float = 0
    may_be_granted: bool = False
    has_order_in_flight: bool = False
    is_replaced: bool = False

    def is_in_force(self, now: Seconds) -> bool:
        """Whether the holder's grant is confirmed and valid."""
        return self.phase is Phase.HELD and now < self.held_until

    def may_be_held_until(self, life: TargetLife) -> Seconds:
        """Return until when a target may hold the piece; 0 if it does not."""
        if life == self.holder:
            return Seconds(self.may_hold_until)
        ends = (
            former.until
            for former in self.former_holders
            if former.life == life
        )
        return next(ends, Seconds(0))

    def needs_grant(self, now: Seconds) -> bool:
        """Whether the holder needs a grant or a renewal."""
        return self.phase is Phase.GRANTING or now >= self.renew_at

    def drop_expired_formers(
        self,
        dead: Collection[TargetLife],
        pending: Collection[TargetLife],
        now: Seconds,
    ) -> None:
        """Drop former holders that certainly hold nothing any more.

        Parameters
        ----------
        dead
            Target instances that have ended.
        pending
            Target instances with an unanswered grant of keys of this piece.
        now
            The current time, in seconds.
        """
        self.former_holders = tuple(
            former
            for former in self.former_holders
            if former.life not in dead
            and (now < former.until or former.life in pending)
        )
        if not self.former_holders:
            self.phase = Phase.GRANTING

    def record_release(
        self, life: TargetLife, handover: str, token: FencingToken
    ) -> None:
        """Record that a former holder released the piece.

        Parameters
        ----------
        life
            The former holder.
        handover
            Data that it returned.
        token
            The fencing token of the release. It ends grants with a lower token,
            also those that are still in flight, and no others.
        """
        self.former_holders = tuple(
            former
            for former in self.former_holders
            if former.life != life or former.token >= token
        )
        self.handover = handover or self.handover
        if not self.former_holders:
            self.phase = Phase.GRANTING

    def split(self, last: ShardKey) -> 'Piece':
        """Keep the keys up to ``last`` and return the rest as a new piece."""
        upper_part = replace(
            self, first=ShardKey(last + 1), has_order_in_flight=False
        )
        self.last = last
        return upper_part


@dataclass(frozen=True, slots=True)
class Move:
    """A change of the holder of a piece."""

    piece: Piece
    to: TargetLife


@dataclass(frozen=True, slots=True)
class Grant:
    """Order to a target to hold a piece."""

    frees_keys: ClassVar[bool] = False
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
    """Order to a target to release a piece.

    Its reply frees the keys for another target.
    """

    frees_keys: ClassVar[bool] = True
    piece: Piece
    life: TargetLife
    first: ShardKey
    last: ShardKey
    token: FencingToken


Order = Grant | Release


@dataclass(frozen=True, slots=True)
class RangeRelease:
    """Order to a target to release all keys of a range, whatever it holds.

    Its reply frees the keys for other targets.
    """

    frees_keys: ClassVar[bool] = True
    life: TargetLife
    first: ShardKey
    last: ShardKey
    token: FencingToken


TargetOrder = Order | RangeRelease


def is_outdated(order: Order) -> bool:
    """Whether the piece of an order has moved or was replaced since."""
    return order.piece.is_replaced or order.piece.token != order.token


class Reply(Enum):
    """Result of an order."""

    DONE = 'done'
    # The target has seen a higher fencing token.
    FENCED = 'fenced'
    # The target rejected the order as malformed.
    REJECTED = 'rejected'
    # No target or a different one listens at the address.
    GONE = 'gone'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Assignment:
    """All pieces as stored.

    Parameters
    ----------
    revision
        The revision of the write that saved them.
    pieces
        The pieces ordered by key, without gaps.
    """

    revision: int
    pieces: tuple[Piece, ...] = field(default=())
