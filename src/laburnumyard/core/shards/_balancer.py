"""Load balancing: selects the pieces to move between targets."""

from bisect import bisect_left, bisect_right
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from laburnumyard.core.ids import Seconds, ShardKey, TargetId
from laburnumyard.core.shards._pieces import (
    MAX_SHARD_KEY,
    Move,
    Phase,
    Piece,
)
from laburnumyard.core.shards._settings import ShardSettings
from laburnumyard.core.target_directory import TargetLife

# Minimum time between moves of a piece, in seconds, since requests wait during
# a move; 1 s lost 4 % of the value of a wave on 33 targets, 0.3 s 0.8 %.
MIN_TIME_BETWEEN_MOVES_S = 0.2
# Smaller loads, in slot seconds per second, are not moved.
MIN_MOVED_LOAD = 0.05
# Targets with less capacity are treated as if they had this one, in slot
# seconds per second.
MIN_CAPACITY = 0.01
# Targets with a lower utilization are not relieved: they have capacity for
# random variation, and every move delays requests.
MIN_RELIEVED_UTILIZATION = 0.45
# Utilization assumed before there are requests, spread evenly over all keys, so
# that pieces are dealt out by their width.
UNSEEN_UTILIZATION = 0.1
# A moved piece may exceed the wanted load by this factor.
MAX_LOAD_FACTOR = 1.2
KeyLoads = Sequence[tuple[ShardKey, float]]


@dataclass(slots=True)
class TargetLoad:
    """Load of one target.

    Parameters
    ----------
    life
        The target.
    capacity
        Slot seconds per second at pace 1.
    load
        Slot seconds per second that its pieces need.
    """

    life: TargetLife
    capacity: float
    load: float = 0
    pieces: list[Piece] = field(default_factory=list)

    @property
    def utilization(self) -> float:
        """The load divided by the capacity."""
        return self.load / self.capacity


class Balancer:
    """One round of balancing.

    Parameters
    ----------
    settings
        Settings of balancing.
    pieces
        All pieces ordered by key; split in place.
    loads
        The load of each key, ordered by key.
    now
        The current time, in seconds.
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
        self.unseen_load_per_key = float(0)
        self.moves: list[Move] = []

    def run(
        self,
        lives: Mapping[TargetId, TargetLife],
        capacities: Mapping[TargetId, float],
        quiet: Collection[TargetId] = (),
    ) -> list[Move]:
        """Return the moves of the round.

        Parameters
        ----------
        lives
            The targets that may hold pieces.
        capacities
            Slot seconds per second of each of them, at pace 1.
        quiet
            Targets that need a piece with requests.
        """
        target_loads = {
            target: TargetLoad(
                life, max(MIN_CAPACITY, capacities.get(target, 1.0))
            )
            for target, life in lives.items()
        }
        if not target_loads:
            return []
        if not self.loads:
            capacity = sum(each.capacity for each in target_loads.values())
            expected_load = UNSEEN_UTILIZATION * capacity
            self.unseen_load_per_key = expected_load / (MAX_SHARD_KEY + 1)
        unassigned = []
        for piece in self.pieces:
            target_load = target_loads.get(piece.holder.target)
            if target_load is None or target_load.life != piece.holder:
                unassigned.append(piece)
                continue
            target_load.pieces.append(piece)
            target_load.load += self.load_of(piece)
        self._place(unassigned, list(target_loads.values()))
        if len(target_loads) > 1:
            self._supply_quiet(list(target_loads.values()), quiet)
            self._rebalance(list(target_loads.values()))
        return self.moves

    def load_of(self, piece: Piece) -> float:
        """Return the load of a piece."""
        start = bisect_left(self.keys, piece.first)
        stop = bisect_right(self.keys, piece.last)
        seen_load = sum(load for _, load in self.loads[start:stop])
        return seen_load + self.unseen_load_per_key * _width(piece)

    def _place(
        self, unassigned: list[Piece], target_loads: list[TargetLoad]
    ) -> None:
        for piece in sorted(unassigned, key=self.load_of, reverse=True):
            target_load = min(target_loads, key=_placement_order)
            self._move(piece, target_load)

    def _rebalance(self, target_loads: list[TargetLoad]) -> None:
        mean = _mean_utilization(target_loads)
        donors = list(target_loads)
        for _ in range(self.settings.moves_per_round):
            most_loaded = max(donors, key=_utilization)
            least_loaded = min(target_loads, key=_utilization)
            wanted_load = self._wanted_load(most_loaded, least_loaded, mean)
            if wanted_load is None:
                return
            # Small loads matter to a target that can serve little.
            min_load = self.settings.tolerance * most_loaded.capacity
            piece = self._select_piece(
                most_loaded, wanted_load, min(MIN_MOVED_LOAD, min_load)
            )
            if piece is None:
                # A target whose load is one busy key cannot be relieved, and
                # must not keep others from it. Pieces that have just moved
                # are waited for, as their effect is not seen yet.
                if len(donors) == 1 or not self._has_settled(most_loaded):
                    return
                donors.remove(most_loaded)
                continue
            self._move_between(piece, most_loaded, least_loaded)

    def _supply_quiet(
        self, target_loads: list[TargetLoad], quiet: Collection[TargetId]
    ) -> None:
        """Move a piece with requests to each target that gets none."""
        mean = _mean_utilization(target_loads)
        for target_load in target_loads:
            room = (mean - target_load.utilization) * target_load.capacity
            if target_load.life.target not in quiet or room <= 0:
                continue
            most_loaded = max(target_loads, key=_utilization)
            piece = self._select_piece(most_loaded, room, 0)
            if piece is not None:
                self._move_between(piece, most_loaded, target_load)

    def _wanted_load(
        self, most_loaded: TargetLoad, least_loaded: TargetLoad, mean: float
    ) -> float | None:
        """Return the load to move, None if the targets are balanced.

        A target that has just joined, or returned, gets its first piece even
        from one that needs no relief. Before there is traffic, moves delay
        nobody.

        Parameters
        ----------
        most_loaded, least_loaded
            The targets to move load between.
        mean
            Mean utilization of all targets.
        """
        room = (mean - least_loaded.utilization) * least_loaded.capacity
        if not least_loaded.pieces and len(most_loaded.pieces) > 1:
            return min(room, most_loaded.load / 2)
        max_utilization = mean * (1 + self.settings.tolerance)
        if self.loads:
            max_utilization = max(MIN_RELIEVED_UTILIZATION, max_utilization)
        if most_loaded.utilization <= max_utilization:
            return None
        surplus = (most_loaded.utilization - mean) * most_loaded.capacity
        return min(surplus, room)

    def _select_piece(
        self, target_load: TargetLoad, wanted_load: float, min_load: float
    ) -> Piece | None:
        """Return a piece of about the wanted load, splitting one if needed."""
        if wanted_load < min_load:
            return None
        movable = [
            piece for piece in target_load.pieces if self._is_movable(piece)
        ]
        within_range = [
            piece
            for piece in movable
            if wanted_load / 3
            <= self.load_of(piece)
            <= wanted_load * MAX_LOAD_FACTOR
        ]
        if within_range:
            return min(within_range, key=_width)
        larger = [
            piece for piece in movable if self.load_of(piece) > wanted_load
        ]
        if larger and len(self.pieces) < self.settings.max_pieces:
            return self._split_piece(
                target_load, min(larger, key=self.load_of), wanted_load
            )
        smaller = [
            piece for piece in movable if 0 < self.load_of(piece) <= wanted_load
        ]
        return max(smaller, key=self.load_of, default=None)

    def _split_piece(
        self, target_load: TargetLoad, piece: Piece, wanted_load: float
    ) -> Piece | None:
        """Split a piece so that its lower part has about the wanted load."""
        last = self._last_key(piece, wanted_load)
        if last >= piece.last:
            return None
        upper_part = piece.split(last)
        self.pieces.insert(self.pieces.index(piece) + 1, upper_part)
        target_load.pieces.append(upper_part)
        parts = (piece, upper_part)
        return min(
            parts, key=lambda part: abs(self.load_of(part) - wanted_load)
        )

    def _last_key(self, piece: Piece, wanted_load: float) -> ShardKey:
        """Return the key up to which a piece has about the wanted load."""
        start = bisect_left(self.keys, piece.first)
        stop = bisect_right(self.keys, piece.last)
        loaded_keys = self.loads[start:stop]
        cumulative_loads = accumulate(load for _, load in loaded_keys)
        count = sum(load < wanted_load for load in cumulative_loads)
        if count >= len(loaded_keys) - 1:
            # The last loaded key is the hot one: split before it.
            count = len(loaded_keys) - 2
        return loaded_keys[count][0] if count >= 0 else piece.last

    def _has_settled(self, target_load: TargetLoad) -> bool:
        return all(map(self._is_movable, target_load.pieces))

    def _is_movable(self, piece: Piece) -> bool:
        has_settled = self.now - piece.moved_at >= MIN_TIME_BETWEEN_MOVES_S
        return piece.phase is Phase.HELD and has_settled

    def _move_between(
        self, piece: Piece, donor: TargetLoad, receiver: TargetLoad
    ) -> None:
        donor.pieces.remove(piece)
        donor.load -= self.load_of(piece)
        self._move(piece, receiver)

    def _move(self, piece: Piece, target_load: TargetLoad) -> None:
        self.moves.append(Move(piece, target_load.life))
        target_load.load += self.load_of(piece)
        # A moved piece is not listed for its new target, so it moves once per
        # round; the extra load spreads pieces that have no load of their own.
        target_load.load += MIN_MOVED_LOAD / 10


def _width(piece: Piece) -> int:
    """Return the number of keys of a piece; a move costs by key."""
    return piece.last - piece.first + 1


def _mean_utilization(target_loads: list[TargetLoad]) -> float:
    total = sum(target_load.load for target_load in target_loads)
    return total / sum(target_load.capacity for target_load in target_loads)


def _utilization(target_load: TargetLoad) -> float:
    return target_load.utilization


def _placement_order(target_load: TargetLoad) -> tuple[float, int]:
    return target_load.utilization, len(target_load.pieces)
