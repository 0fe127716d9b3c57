"""Which ranges to move because of load, and which to merge again."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from itertools import pairwise, product

from laburnumyard.core.ids import Seconds, TargetName
from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._head import Snapshot
from laburnumyard.core.ownership._hints import MergeRequested, MoveRequested
from laburnumyard.core.ownership._load import Heat, LoadTable
from laburnumyard.core.ownership._plan import ServicePlan
from laburnumyard.core.ownership._planner import may_own
from laburnumyard.schema._generated.messages import LoadReport


@dataclass(frozen=True, slots=True)
class BalanceSettings:
    """When ranges move because of load.

    Parameters
    ----------
    start_above, stop_below
        How far above the mean the utilisation of the busiest target must be
        for moves to begin, and below which they end again. The gap between
        both is the hysteresis.
    least_gain
        The least fall of the highest utilisation that is worth a move.
    moves_per_s
        The budget of moves.
    move_burst
        How many moves may be made at once.
    cold_busy
        Slots below which a small range counts as cold.
    ramp
        How long a target that has just come is given less, in seconds.
    ramp_floor
        The share of its slots that counts at first.
    """

    start_above: float = 0.15
    stop_below: float = 0.05
    least_gain: float = 0.02
    moves_per_s: float = 0.2
    move_burst: float = 4
    cold_busy: float = 0.01
    ramp: Seconds = 30.0
    ramp_floor: float = 0.1


@dataclass(frozen=True, slots=True)
class _Candidate:
    peak: float
    part: HashRange
    to: TargetName
    busy: float


class LoadPlanner:
    """Proposes moves and merges for one service.

    Deterministic: the same reports at the same times give the same proposals.

    Parameters
    ----------
    settings
        When ranges move.
    """

    def __init__(self, settings: BalanceSettings | None = None) -> None:
        """Start without knowledge of any load."""
        self.settings = settings or BalanceSettings()
        self.table = LoadTable()
        self.is_moving = False
        self.budget = self.settings.move_burst
        self.seen_at: dict[TargetName, Seconds] = {}
        self.proposed_at: Seconds | None = None

    def record(self, report: LoadReport) -> None:
        """Take in what a dispatcher saw since its last report."""
        self.table.record(report)

    def propose(
        self,
        snapshot: Snapshot,
        plan: ServicePlan,
        now: Seconds,
    ) -> list[MoveRequested | MergeRequested]:
        """Return what the lease managers should do next.

        Parameters
        ----------
        snapshot
            The assignment in force.
        plan
            What the configuration says.
        now
            The time.

        Returns
        -------
        list of MoveRequested or MergeRequested
            Each is to be fed to the manager of the range's owner. One that is
            not followed is proposed again later.
        """
        heats = self.table.roll(snapshot.assignment, now)
        weights = self._weights(snapshot, plan, now)
        self._refill(now)
        moves: list[MoveRequested | MergeRequested] = []
        if weights:
            moves.extend(self._relieve(heats, weights, plan))
        if weights and not moves:
            moves.extend(self._return_cold(heats, weights, plan))
        return moves or _merges(heats, plan)

    def _refill(self, now: Seconds) -> None:
        if self.proposed_at is not None:
            gained = (now - self.proposed_at) * self.settings.moves_per_s
            self.budget = min(self.settings.move_burst, self.budget + gained)
        self.proposed_at = now

    def _weights(
        self,
        snapshot: Snapshot,
        plan: ServicePlan,
        now: Seconds,
    ) -> dict[TargetName, float]:
        is_first = not self.seen_at
        staying = {
            name: kind.slots
            for name, kind in plan.targets.items()
            if name not in snapshot.head.withdrawn and not kind.draining
        }
        for gone in self.seen_at.keys() - staying.keys():
            self.seen_at.pop(gone)
        come_at = now - self.settings.ramp if is_first else now
        for come in staying.keys() - self.seen_at.keys():
            self.seen_at[come] = Seconds(come_at)
        return {
            name: slots * self._warmth(now - self.seen_at[name])
            for name, slots in staying.items()
        }

    def _warmth(self, age: float) -> float:
        return min(1, max(self.settings.ramp_floor, age / self.settings.ramp))

    def _relieve(
        self,
        heats: tuple[Heat, ...],
        weights: Mapping[TargetName, float],
        plan: ServicePlan,
    ) -> list[MoveRequested]:
        busy = _busy_by_target(heats, weights)
        moves: list[MoveRequested] = []
        taken: set[HashRange] = set()
        while self.budget >= 1 and self._is_uneven(busy, weights):
            free = [heat for heat in heats if heat.part not in taken]
            best = self._best_move(free, busy, weights, plan)
            if best is None:
                break
            taken |= {heat.part for heat in free if _holds(heat, best.part)}
            _shift(busy, _hottest(busy, weights), best)
            self.budget -= 1
            moves.append(MoveRequested(best.part, best.to))
        return moves

    def _is_uneven(
        self,
        busy: Mapping[TargetName, float],
        weights: Mapping[TargetName, float],
    ) -> bool:
        hottest = _hottest(busy, weights)
        mean = sum(busy.values()) / sum(weights.values())
        above = busy[hottest] / weights[hottest] - mean
        if above > self.settings.start_above:
            self.is_moving = True
        if above < self.settings.stop_below:
            self.is_moving = False
        return self.is_moving

    def _best_move(
        self,
        heats: Iterable[Heat],
        busy: Mapping[TargetName, float],
        weights: Mapping[TargetName, float],
        plan: ServicePlan,
    ) -> _Candidate | None:
        hottest = _hottest(busy, weights)
        peak = busy[hottest] / weights[hottest]
        pieces = [
            piece
            for heat in heats
            if heat.target == hottest
            for piece in _pieces(heat)
        ]
        others = [name for name in weights if name != hottest]
        candidates = [
            _candidate(piece, name, busy, weights)
            for piece, name in product(pieces, others)
            if may_own(plan, name, piece.part)
        ]
        best = min(
            candidates,
            key=lambda one: (one.peak, one.part, one.to),
            default=None,
        )
        if best is None or best.peak > peak - self.settings.least_gain:
            return None
        return best

    def _return_cold(
        self,
        heats: tuple[Heat, ...],
        weights: Collection[TargetName],
        plan: ServicePlan,
    ) -> list[MoveRequested]:
        # A range that was split off for a hot key goes back to its neighbour
        # once it is cold, so that both can be merged.
        moves: list[MoveRequested] = []
        for left, right in pairwise(heats):
            small, large = sorted((left, right), key=_size)
            is_apart = small.target != large.target
            is_wanted = is_apart and large.target in weights
            is_cold = small.busy < self.settings.cold_busy
            can_move = self.budget >= 1 and _fits(left, right, plan)
            if is_wanted and is_cold and can_move:
                self.budget -= 1
                moves.append(MoveRequested(small.part, large.target))
        return moves


def _merges(
    heats: tuple[Heat, ...],
    plan: ServicePlan,
) -> list[MoveRequested | MergeRequested]:
    return [
        MergeRequested(HashRange(left.part.start, heat.part.stop))
        for left, heat in pairwise(heats)
        if left.target == heat.target and _fits(left, heat, plan)
    ]


def _fits(left: Heat, heat: Heat, plan: ServicePlan) -> bool:
    # Two ranges that are no larger together than one of the first assignment
    # have been split off one.
    size = heat.part.stop - left.part.start
    is_adjacent = left.part.stop == heat.part.start
    return is_adjacent and size <= _first_size(plan, heat.part)


def _size(heat: Heat) -> int:
    return heat.part.stop - heat.part.start


def _first_size(plan: ServicePlan, part: HashRange) -> int:
    for key_range in plan.key_ranges:
        if part.start in key_range.span:
            size = key_range.span.stop - key_range.span.start
            return size // (len(key_range.targets) * plan.ranges_per_target)
    return 0


def _pieces(heat: Heat) -> list[Heat]:
    whole = [Heat(heat.part, heat.target, heat.busy)]
    if heat.hot_key is None or _size(heat) == 1:
        return whole
    key = HashRange(heat.hot_key, heat.hot_key + 1)
    return [*whole, Heat(key, heat.target, heat.hot_busy)]


def _candidate(
    piece: Heat,
    to: TargetName,
    busy: Mapping[TargetName, float],
    weights: Mapping[TargetName, float],
) -> _Candidate:
    source = piece.target
    left = (busy[source] - piece.busy) / weights[source]
    grown = (busy[to] + piece.busy) / weights[to]
    return _Candidate(max(left, grown), piece.part, to, piece.busy)


def _holds(heat: Heat, part: HashRange) -> bool:
    return heat.part.overlaps(part)


def _shift(
    busy: dict[TargetName, float],
    source: TargetName,
    move: _Candidate,
) -> None:
    busy[source] -= move.busy
    busy[move.to] += move.busy


def _busy_by_target(
    heats: Iterable[Heat],
    weights: Iterable[TargetName],
) -> dict[TargetName, float]:
    busy: dict[TargetName, float] = dict.fromkeys(weights, 0)
    for heat in heats:
        if heat.target in weights:
            busy[heat.target] += heat.busy
    return busy


def _hottest(
    busy: Mapping[TargetName, float],
    weights: Mapping[TargetName, float],
) -> TargetName:
    return max(sorted(busy), key=lambda name: busy[name] / weights[name])
