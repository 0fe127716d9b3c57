"""Chooses which pieces move so that each target's load fits its pace."""

from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from laburnumyard.core.directory import TargetLife
from laburnumyard.core.ids import Seconds, ShardKey, TargetId
from laburnumyard.core.shards._pieces import Move, Phase, Piece
from laburnumyard.core.shards._settings import ShardSettings

# A piece that has just moved stays this long, in seconds, or its requests would
# wait again; 1 s lost 4 % of the value of a wave on 33 targets, 0.3 s 0.8 %.
SETTLED_AFTER_S = 0.2
# Loads below this many slot seconds a second are no reason to move.
LEAST_GAIN = 0.05
# A target that is busy for a smaller part of its time has room for chance; it
# is not relieved, since every move holds requests up.
RELIEF_FROM = 0.45
# A piece may be this much larger than what a target has to shed.
LARGEST_FIT = 1.2
KeyLoads = Sequence[tuple[ShardKey, float]]


@dataclass(slots=True)
class Share:
    """The part of the load that one target has.

    Parameters
    ----------
    life
        The target.
    capacity
        Slot seconds a second at pace 1.
    load
        Slot seconds a second that its pieces cost.
    """

    life: TargetLife
    capacity: float
    load: float = 0
    pieces: list[Piece] = field(default_factory=list)

    @property
    def utilization(self) -> float:
        """The load for each unit of capacity."""
        return self.load / self.capacity


class Balancer:
    """One round of balancing.

    Parameters
    ----------
    settings
        Bounds of the round.
    pieces
        All pieces by their keys; splits are made in place.
    loads
        The load of each key, by key.
    now
        The time.
    """

    def __init__(
        self,
        settings: ShardSettings,
        pieces: list[Piece],
        loads: KeyLoads,
        now: Seconds,
    ) -> None:
        """Prepare the round."""
        self.settings = settings
        self.pieces = pieces
        self.keys = [key for key, _ in loads]
        self.loads = loads
        self.now = now
        self.moves: list[Move] = []

    def run(
        self,
        lives: Mapping[TargetId, TargetLife],
        capacities: Mapping[TargetId, float],
    ) -> list[Move]:
        """Return the moves of the round.

        Parameters
        ----------
        lives
            The targets that may hold pieces.
        capacities
            Slot seconds a second of each of them, at pace 1.
        """
        shares = {
            target: Share(life, max(0.1, capacities.get(target, 1.0)))
            for target, life in lives.items()
        }
        if not shares:
            return []
        homeless = []
        for piece in self.pieces:
            share = shares.get(piece.holder.target)
            if share is None or share.life != piece.holder:
                homeless.append(piece)
                continue
            share.pieces.append(piece)
            share.load += self.load_of(piece)
        self._place(homeless, list(shares.values()))
        if len(shares) > 1:
            self._even_out(list(shares.values()))
        return self.moves

    def load_of(self, piece: Piece) -> float:
        """Return the load of a piece."""
        start = bisect_left(self.keys, piece.first)
        stop = bisect_right(self.keys, piece.last)
        return sum(load for _, load in self.loads[start:stop])

    def _place(self, homeless: list[Piece], shares: list[Share]) -> None:
        for piece in sorted(homeless, key=self.load_of, reverse=True):
            share = min(shares, key=_placement_order)
            self._move(piece, share)

    def _even_out(self, shares: list[Share]) -> None:
        total = sum(share.load for share in shares)
        mean = total / sum(share.capacity for share in shares)
        for _ in range(self.settings.moves_per_round):
            fullest = max(shares, key=_utilization)
            emptiest = min(shares, key=_utilization)
            most = max(RELIEF_FROM, mean * (1 + self.settings.tolerance))
            if fullest.utilization <= most:
                return
            surplus = (fullest.utilization - mean) * fullest.capacity
            room = (mean - emptiest.utilization) * emptiest.capacity
            piece = self._pick(fullest, min(surplus, room))
            if piece is None:
                return
            fullest.pieces.remove(piece)
            fullest.load -= self.load_of(piece)
            self._move(piece, emptiest)

    def _pick(self, share: Share, wanted: float) -> Piece | None:
        """Return a piece whose load is about the wanted one, or cut one."""
        if wanted < LEAST_GAIN:
            return None
        movable = [piece for piece in share.pieces if self._is_movable(piece)]
        fitting = [
            piece
            for piece in movable
            if wanted / 3 <= self.load_of(piece) <= wanted * LARGEST_FIT
        ]
        if fitting:
            return min(fitting, key=_width)
        larger = [piece for piece in movable if self.load_of(piece) > wanted]
        if larger and len(self.pieces) < self.settings.most_pieces:
            return self._cut(share, min(larger, key=self.load_of), wanted)
        smaller = [
            piece for piece in movable if 0 < self.load_of(piece) <= wanted
        ]
        return max(smaller, key=self.load_of, default=None)

    def _cut(self, share: Share, piece: Piece, wanted: float) -> Piece | None:
        """Cut a piece where its load up to the cut is about the wanted one."""
        last = self._last_key(piece, wanted)
        if last >= piece.last:
            return None
        rest = piece.split(last)
        self.pieces.insert(self.pieces.index(piece) + 1, rest)
        share.pieces.append(rest)
        halves = (piece, rest)
        return min(halves, key=lambda half: abs(self.load_of(half) - wanted))

    def _last_key(self, piece: Piece, wanted: float) -> ShardKey:
        """Return the key up to which a piece has about the wanted load."""
        start = bisect_left(self.keys, piece.first)
        stop = bisect_right(self.keys, piece.last)
        busy = self.loads[start:stop]
        reached = accumulate(load for _, load in busy)
        count = sum(load < wanted for load in reached)
        if count >= len(busy) - 1:
            # The last busy key is the hot one: what is before it is cut off.
            count = len(busy) - 2
        return busy[count][0] if count >= 0 else piece.last

    def _is_movable(self, piece: Piece) -> bool:
        settled = self.now - piece.moved_at >= SETTLED_AFTER_S
        return piece.phase is Phase.HELD and settled

    def _move(self, piece: Piece, share: Share) -> None:
        self.moves.append(Move(piece, share.life))
        share.load += self.load_of(piece)
        # Chosen pieces do not move twice within one round.
        share.load += LEAST_GAIN / 10


def _width(piece: Piece) -> int:
    """Return how many keys a piece has; what moves is paid for by key."""
    return piece.last - piece.first + 1


def _utilization(share: Share) -> float:
    return share.utilization


def _placement_order(share: Share) -> tuple[float, int]:
    return share.utilization, len(share.pieces)
