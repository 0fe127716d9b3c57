"""Manages the assignment of the keys of one service to targets.

Each change is one conditional write to the store, whose revision is the fencing
token of the moved pieces. After the write the former holder gets a release
order, and once that is confirmed or its grant has expired, the new holder gets
a grant. A successor repeats these steps from the stored assignment; both orders
are idempotent.
"""

from bisect import bisect_right
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import replace
from operator import attrgetter
from weakref import WeakKeyDictionary

from laburnumyard.core.ids import FencingToken, Seconds, ShardKey, TargetId
from laburnumyard.core.shards._balancer import Balancer
from laburnumyard.core.shards._key_load import KeyLoad
from laburnumyard.core.shards._pieces import (
    Assignment,
    FormerHolder,
    Grant,
    Move,
    Order,
    Phase,
    Piece,
    Release,
    Reply,
    is_outdated,
)
from laburnumyard.core.shards._reassignment import (
    initial_pieces,
    piece_after_move,
)
from laburnumyard.core.shards._settings import ShardSettings
from laburnumyard.core.shards._unanswered_grants import UnansweredGrants
from laburnumyard.core.shards._unknown_holders import UnknownHolders
from laburnumyard.core.target_directory import TargetLife

# A target that answers no order for this long loses its pieces, in seconds;
# long enough for several orders, and less than a quarter of a hold.
UNRESPONSIVE_AFTER_S = 1.0
# Delay before a failed order is resent, in seconds.
ORDER_RETRY_DELAY_S = 0.1
# A holder gets no new request this long before its grant expires, in seconds:
# about the network delay to the target.
HELD_MARGIN_S = 0.05


class ShardManager:
    """Manager of the key assignment of one service.

    Parameters
    ----------
    settings
        Settings of grants and balancing.

    Attributes
    ----------
    dead
        Target instances that have ended and hold nothing.
    unanswered
        Grants that were sent and not answered.
    unknown_holders
        Target instances that may hold any key, since the assignment was lost.
    restarted
        Target instances that a later one at the same address has replaced.
        Their grants are not renewed. The later instance may hold their pieces
        through a renewal that was in flight, and has to release them before
        another target gets them.
    version
        Changes whenever the holder of a key may have changed.
    """

    def __init__(self, settings: ShardSettings) -> None:
        """Start without pieces."""
        self.settings = settings
        self.revision = 0
        self.version = 0
        self.has_stored_formers = False
        self.pieces: list[Piece] = []
        self.load = KeyLoad()
        self.dead: set[TargetLife] = set()
        self.restarted: set[TargetLife] = set()
        self.unknown_holders = UnknownHolders()
        self.unanswered = UnansweredGrants()
        self.unresponsive_since: dict[TargetLife, Seconds] = {}
        self.paused_until: WeakKeyDictionary[Piece, Seconds]
        self.paused_until = WeakKeyDictionary()

    def take_over(self, assignment: Assignment, now: Seconds) -> None:
        """Continue from the stored assignment.

        Parameters
        ----------
        assignment
            The stored assignment.
        now
            The current time, in seconds. Grants of an earlier coordinator are
            counted from now, since its last one may just have been sent.
        """
        self.revision = assignment.revision
        self.version += 1
        for replaced in self.pieces:
            replaced.is_replaced = True
        self.pieces = list(assignment.pieces)
        # An earlier coordinator that lost the store still renews for a while.
        max_hold = self.settings.max_hold_s
        until = Seconds(now + self.settings.outage_hold_s + max_hold)
        for piece in self.pieces:
            piece.may_hold_until = until
            piece.may_be_granted = True
            # All that is known of their grants is that the piece moved later.
            earlier = FencingToken(max(0, piece.token - 1))
            piece.former_holders = tuple(
                FormerHolder(former.life, until, earlier)
                for former in piece.former_holders
            )
            if piece.former_holders:
                piece.phase = Phase.RELEASING
            else:
                # It is most likely still held, and is renewed at once; a target
                # that does not hold it reports that.
                piece.phase = Phase.HELD
                piece.held_until = Seconds(now + self.settings.hold_s / 2)
        self.has_stored_formers = any(
            piece.former_holders for piece in self.pieces
        )

    def follow(self, assignment: Assignment, now: Seconds) -> None:
        """Use the stored owners without sending orders.

        For gateways that cannot reach the coordinator, which continues to renew
        the stored grants or has just stopped.
        """
        self.revision = assignment.revision
        self.version += 1
        self.pieces = list(assignment.pieces)
        for piece in self.pieces:
            # The holder of a piece with former holders is unknown.
            if not piece.former_holders:
                piece.phase = Phase.HELD
                piece.held_until = Seconds(now + self.settings.hold_s)

    def note_predecessor_gone(self, now: Seconds) -> None:
        """Count holds from now, since no earlier coordinator sends grants."""
        until = Seconds(now + self.settings.max_hold_s)
        for piece in self.pieces:
            piece.may_hold_until = min(piece.may_hold_until, until)
            piece.former_holders = tuple(
                replace(former, until=min(former.until, until))
                for former in piece.former_holders
            )

    def owner(self, key: ShardKey, now: Seconds) -> TargetId | None:
        """Return the target that holds a key now, None while none does."""
        piece = self.piece_of(key)
        if piece is None or not piece.is_in_force(now):
            return None
        return piece.holder.target

    def destination(self, key: ShardKey) -> TargetId | None:
        """Return the target that holds a key, or is about to."""
        piece = self.piece_of(key)
        return piece.holder.target if piece else None

    def note_arrival(self, key: ShardKey, cost: Seconds, now: Seconds) -> None:
        """Count a request for a key."""
        self.load.record(key, cost, now)

    def note_work(
        self, key: ShardKey, correction: Seconds, now: Seconds
    ) -> None:
        """Correct the cost of a request by the measured one."""
        self.load.correct(key, correction, now)

    def note_not_owner(self, key: ShardKey, target: TargetId) -> None:
        """Record that a target reported that it does not hold a key.

        Its grant is resent, since it may have been restarted.
        """
        piece = self.piece_of(key)
        if piece and piece.holder.target == target:
            piece.held_until = Seconds(0)
            if piece.phase is Phase.HELD:
                piece.phase = Phase.GRANTING

    def piece_of(self, key: ShardKey) -> Piece | None:
        """Return the piece that contains a key."""
        index = bisect_right(self.pieces, key, key=attrgetter('first'))
        return self.pieces[index - 1] if index else None

    def plan(
        self,
        lives: Mapping[TargetId, TargetLife],
        capacities: Mapping[TargetId, float],
        now: Seconds,
        quiet: Collection[TargetId] = (),
    ) -> list[Move]:
        """Return the moves that are due, or the initial assignment.

        Parameters
        ----------
        lives
            Targets that accept new requests.
        capacities
            Slot seconds per second of each target.
        now
            The current time, in seconds.
        quiet
            Targets that need a piece with requests.
        """
        serving = {
            target: life
            for target, life in lives.items()
            if life not in self.dead
            and now - self.unresponsive_since.get(life, now)
            < UNRESPONSIVE_AFTER_S
        }
        if not serving:
            return []
        if not self.pieces or not self.revision:
            self.pieces = initial_pieces(self.settings, serving)
            self.version += 1
            return [Move(piece, piece.holder) for piece in self.pieces]
        loads = self.load.by_key(now, len(serving))
        balancer = Balancer(self.settings, self.pieces, loads, now)
        return balancer.run(serving, capacities, quiet)

    def preview(self, moves: Iterable[Move]) -> tuple[Piece, ...]:
        """Return the pieces to store for some moves."""
        stored = {
            move.piece: piece_after_move(move.piece, move.to, self.dead)
            for move in moves
        }
        return tuple(stored.get(piece, piece) for piece in self.pieces)

    def apply(self, moves: Iterable[Move], revision: int, now: Seconds) -> None:
        """Apply moves that were written to the store.

        Parameters
        ----------
        moves
            The stored moves.
        revision
            The revision of the write; the fencing token of the moved pieces.
        now
            The current time, in seconds.
        """
        self.revision = revision
        self.version += 1
        for move in moves:
            moved = piece_after_move(move.piece, move.to, self.dead)
            piece = move.piece
            # The new holder may still hold it from before.
            may_hold_until = piece.may_be_held_until(move.to)
            piece.former_holders = moved.former_holders
            piece.holder = move.to
            piece.token = FencingToken(revision)
            piece.phase = Phase.RELEASING
            piece.moved_at = now
            piece.may_hold_until = may_hold_until
            piece.may_be_granted = False
            piece.has_order_in_flight = False
            self.paused_until.pop(piece, None)
        self.has_stored_formers = any(
            piece.former_holders for piece in self.pieces
        )

    def has_stale_former_holders(self) -> bool:
        """Whether the stored assignment names former holders that released all.

        A successor would wait for them, even long after they have gone.
        """
        is_settled = all(piece.phase is Phase.HELD for piece in self.pieces)
        return self.has_stored_formers and is_settled

    def due_orders(self, now: Seconds) -> Iterator[Order]:
        """Yield the orders that have to be sent now."""
        for piece in self.pieces:
            # Most pieces are held and their renewal is not due.
            if piece.has_order_in_flight:
                continue
            if piece.phase is not Phase.HELD or now >= piece.renew_at:
                yield from self.next_order(piece, now)

    def next_order(self, piece: Piece, now: Seconds) -> Iterator[Order]:
        """Yield the order that a piece needs now, if any."""
        # A piece that is not confirmed by the store has no fencing token.
        if not piece.token or piece.is_replaced:
            return
        if piece.has_order_in_flight or self.paused_until.get(piece, 0) > now:
            return
        if piece.phase is Phase.RELEASING:
            pending = self.unanswered.lives(piece)
            piece.drop_expired_formers(self.dead, pending, now)
        if piece.phase is Phase.RELEASING:
            yield from _release(piece, self.unknown_holders)
        elif piece.holder not in self.dead:
            if piece.holder not in self.restarted and piece.needs_grant(now):
                yield self._grant(piece, now)

    def note_reply(
        self, order: Order, reply: Reply, handover: str, now: Seconds
    ) -> bool:
        """Record the reply to an order.

        Returns
        -------
        bool
            Whether the stored assignment has to be read again.
        """
        piece = order.piece
        self._record_reachability(order.life, reply, now)
        if isinstance(order, Grant):
            held = order.hold_s * (1 + self.settings.clock_slack)
            hold_until = Seconds(now + held)
            self.unanswered.settle(order, reply, hold_until, self.pieces)
        if is_outdated(order):
            return False
        piece.has_order_in_flight = False
        if reply in {Reply.UNKNOWN, Reply.GONE, Reply.REJECTED}:
            self.paused_until[piece] = Seconds(now + ORDER_RETRY_DELAY_S)
            return False
        if reply is Reply.FENCED:
            self.paused_until[piece] = Seconds(now + UNRESPONSIVE_AFTER_S)
            return True
        if isinstance(order, Release):
            piece.record_release(order.life, handover, order.token)
        else:
            renew_after_s = self.settings.renew_after_s
            _record_granted(piece, order, renew_after_s)
        return False

    def note_dead(self, life: TargetLife) -> None:
        """Record proof that a target instance has ended."""
        self.dead.add(life)

    def _grant(self, piece: Piece, now: Seconds) -> Grant:
        piece.has_order_in_flight = True
        piece.may_be_granted = True
        max_hold_until = Seconds(now + self.settings.max_hold_s)
        piece.may_hold_until = max(piece.may_hold_until, max_hold_until)
        return Grant(
            piece,
            piece.holder,
            piece.first,
            piece.last,
            piece.token,
            self.settings.hold_s,
            piece.handover,
            now,
        )

    def _record_reachability(
        self, life: TargetLife, reply: Reply, now: Seconds
    ) -> None:
        if reply is Reply.GONE:
            self.dead.add(life)
        elif reply is Reply.UNKNOWN:
            self.unresponsive_since.setdefault(life, now)
        else:
            self.unresponsive_since.pop(life, None)


def _record_granted(piece: Piece, order: Grant, renew_after_s: Seconds) -> None:
    piece.phase = Phase.HELD
    held = order.sent_at + order.hold_s - HELD_MARGIN_S
    piece.held_until = Seconds(max(piece.held_until, held))
    piece.renew_at = Seconds(order.sent_at + renew_after_s)
    piece.handover = ''


def _release(piece: Piece, unknown_holders: UnknownHolders) -> Iterator[Order]:
    former = unknown_holders.unreleased(piece)
    if former is None:
        return
    piece.has_order_in_flight = True
    yield Release(piece, former.life, piece.first, piece.last, piece.token)
