"""Owns the assignment of one service's keys: who holds what, and who next.

Each change is one conditional write to the store, whose revision is the
fencing token of the pieces that it moved. Only then does the former holder
get its release, and only when that is answered, or its time is over, does the
new holder get its grant. Whoever takes over repeats these steps from the
stored assignment; both orders may be repeated without harm.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator, Mapping
from operator import attrgetter
from weakref import WeakKeyDictionary

from laburnumyard.core.directory import TargetLife
from laburnumyard.core.ids import FencingToken, Seconds, ShardKey, TargetId
from laburnumyard.core.shards._balance import Balancer
from laburnumyard.core.shards._load import KeyLoad
from laburnumyard.core.shards._moving import deal, moved_piece
from laburnumyard.core.shards._pieces import (
    Assignment,
    Former,
    Grant,
    Move,
    Order,
    Phase,
    Piece,
    Release,
    Reply,
)
from laburnumyard.core.shards._settings import ShardSettings

# A target that answers no order for this long loses its pieces, in seconds;
# several orders, and less than a quarter of a hold.
SILENT_AFTER_S = 1.0
# An order that failed is sent again after this pause, in seconds.
ORDER_PAUSE_S = 0.1
# A holder whose grant runs out within this time takes no new request, in
# seconds: about one trip to the target.
HELD_MARGIN_S = 0.05


class ShardManager:
    """The pieces of one service.

    Parameters
    ----------
    settings
        Bounds of grants and balancing.

    Attributes
    ----------
    dead
        Lives that have ended and hold nothing.
    restarted
        Lives that a later one at the same address has replaced. They are not
        renewed; the later one may hold their pieces by a renewal that was on
        its way, and has to release them before anybody else gets them.
    """

    def __init__(self, settings: ShardSettings) -> None:
        """Start without any piece."""
        self.settings = settings
        self.revision = 0
        self.has_stored_formers = False
        self.pieces: list[Piece] = []
        self.load = KeyLoad()
        self.dead: set[TargetLife] = set()
        self.restarted: set[TargetLife] = set()
        self.silent_since: dict[TargetLife, Seconds] = {}
        self.paused_until: WeakKeyDictionary[Piece, Seconds]
        self.paused_until = WeakKeyDictionary()

    def take_over(self, assignment: Assignment, now: Seconds) -> None:
        """Go on from the stored assignment.

        Parameters
        ----------
        assignment
            What the store keeps.
        now
            The time; grants of an earlier coordinator count from here, since
            its last one may just have been sent.
        """
        self.revision = assignment.revision
        self.pieces = list(assignment.pieces)
        # An earlier coordinator without the store renews for a while.
        longest = self.settings.longest_hold_s
        until = Seconds(now + self.settings.outage_hold_s + longest)
        for piece in self.pieces:
            piece.may_hold_until = until
            piece.formers = tuple(
                Former(former.life, until) for former in piece.formers
            )
            if piece.formers:
                piece.phase = Phase.RELEASING
            else:
                # Most likely still held, and renewed at once; a holder that
                # does not hold it says so.
                piece.phase = Phase.HELD
                piece.held_until = Seconds(now + self.settings.hold_s / 2)
        self.has_stored_formers = any(piece.formers for piece in self.pieces)

    def follow(self, assignment: Assignment, now: Seconds) -> None:
        """Take the stored owners as they are, and give no orders.

        For gateways that are out of touch with the coordinator, which goes on
        renewing what is stored, or has stopped a moment ago.
        """
        self.revision = assignment.revision
        self.pieces = list(assignment.pieces)
        for piece in self.pieces:
            # Who holds a piece with former holders is not known.
            if not piece.formers:
                piece.phase = Phase.HELD
                piece.held_until = Seconds(now + self.settings.hold_s)

    def note_predecessor_gone(self, now: Seconds) -> None:
        """Count holds from now: no earlier coordinator sends grants."""
        until = Seconds(now + self.settings.longest_hold_s)
        for piece in self.pieces:
            piece.may_hold_until = min(piece.may_hold_until, until)
            piece.formers = tuple(
                Former(former.life, min(former.until, until))
                for former in piece.formers
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
        self.load.note(key, cost, now)

    def note_not_owner(self, key: ShardKey, target: TargetId) -> None:
        """Take in that a target says it does not hold a key.

        Its grant is sent again; it may have started anew.
        """
        piece = self.piece_of(key)
        if piece and piece.holder.target == target:
            piece.held_until = Seconds(0)
            if piece.phase is Phase.HELD:
                piece.phase = Phase.GRANTING

    def piece_of(self, key: ShardKey) -> Piece | None:
        """Return the piece of a key."""
        index = bisect_right(self.pieces, key, key=attrgetter('first'))
        return self.pieces[index - 1] if index else None

    def plan(
        self,
        lives: Mapping[TargetId, TargetLife],
        capacities: Mapping[TargetId, float],
        now: Seconds,
    ) -> list[Move]:
        """Return the moves that are due, or the first deal.

        Parameters
        ----------
        lives
            Targets that take new work.
        capacities
            Slot seconds a second of each target.
        now
            The time.
        """
        serving = {
            target: life
            for target, life in lives.items()
            if life not in self.dead
            and now - self.silent_since.get(life, now) < SILENT_AFTER_S
        }
        if not serving:
            return []
        if not self.pieces or not self.revision:
            self.pieces = deal(self.settings, serving)
            return [Move(piece, piece.holder) for piece in self.pieces]
        loads = self.load.by_key(now)
        balancer = Balancer(self.settings, self.pieces, loads, now)
        return balancer.run(serving, capacities)

    def preview(self, moves: Iterable[Move]) -> tuple[Piece, ...]:
        """Return the pieces as they are to be stored with some moves."""
        stored = {
            move.piece: moved_piece(move.piece, move.to, self.dead)
            for move in moves
        }
        return tuple(stored.get(piece, piece) for piece in self.pieces)

    def apply(self, moves: Iterable[Move], revision: int, now: Seconds) -> None:
        """Carry out moves that the store has taken.

        Parameters
        ----------
        moves
            What was saved.
        revision
            The revision of the write; the fencing token of the moved pieces.
        now
            The time.
        """
        self.revision = revision
        for move in moves:
            moved = moved_piece(move.piece, move.to, self.dead)
            piece = move.piece
            piece.formers = moved.formers
            piece.holder = move.to
            piece.token = FencingToken(revision)
            piece.phase = Phase.RELEASING
            piece.moved_at = now
            piece.may_hold_until = Seconds(0)
            piece.is_ordered = False
            self.paused_until.pop(piece, None)
        self.has_stored_formers = any(piece.formers for piece in self.pieces)

    def needs_tidying(self) -> bool:
        """Whether the store names former holders that have given all back.

        Whoever takes over would wait for them, even if they are long gone.
        """
        is_settled = all(piece.phase is Phase.HELD for piece in self.pieces)
        return self.has_stored_formers and is_settled

    def due_orders(self, now: Seconds) -> Iterator[Order]:
        """Yield the orders that have to be sent now."""
        for piece in self.pieces:
            yield from self.next_order(piece, now)

    def next_order(self, piece: Piece, now: Seconds) -> Iterator[Order]:
        """Yield the order that a piece needs now, if any."""
        # What the store has not confirmed has no fencing token.
        if not piece.token:
            return
        if piece.is_ordered or self.paused_until.get(piece, 0) > now:
            return
        if piece.phase is Phase.RELEASING:
            piece.drop_ended(self.dead, now)
        if piece.phase is Phase.RELEASING:
            piece.is_ordered = True
            yield Release(
                piece,
                piece.formers[0].life,
                piece.first,
                piece.last,
                piece.token,
            )
        elif piece.holder not in self.dead:
            if piece.holder not in self.restarted and piece.is_due(now):
                yield self._grant(piece, now)

    def note_reply(
        self, order: Order, reply: Reply, handover: str, now: Seconds
    ) -> bool:
        """Take in what came of an order.

        Returns
        -------
        bool
            Whether the stored assignment has to be read again.
        """
        piece = order.piece
        self._note_life(order.life, reply, now)
        if piece.token != order.token:
            return False
        piece.is_ordered = False
        if reply in {Reply.UNKNOWN, Reply.GONE, Reply.REJECTED}:
            self.paused_until[piece] = Seconds(now + ORDER_PAUSE_S)
            return False
        if reply is Reply.FENCED:
            self.paused_until[piece] = Seconds(now + SILENT_AFTER_S)
            return True
        if isinstance(order, Release):
            piece.note_released(order.life, handover)
        else:
            self._note_granted(piece, order)
        return False

    def note_dead(self, life: TargetLife) -> None:
        """Take in proof that a start of a target has ended."""
        self.dead.add(life)

    def _grant(self, piece: Piece, now: Seconds) -> Grant:
        piece.is_ordered = True
        longest = Seconds(now + self.settings.longest_hold_s)
        piece.may_hold_until = max(piece.may_hold_until, longest)
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

    def _note_granted(self, piece: Piece, order: Grant) -> None:
        piece.phase = Phase.HELD
        held = order.sent_at + order.hold_s - HELD_MARGIN_S
        piece.held_until = Seconds(max(piece.held_until, held))
        piece.renew_at = Seconds(order.sent_at + self.settings.renew_after_s)
        piece.handover = ''

    def _note_life(self, life: TargetLife, reply: Reply, now: Seconds) -> None:
        if reply is Reply.GONE:
            self.dead.add(life)
        elif reply is Reply.UNKNOWN:
            self.silent_since.setdefault(life, now)
        else:
            self.silent_since.pop(life, None)
