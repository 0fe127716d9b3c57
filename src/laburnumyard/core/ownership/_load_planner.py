"""Which ranges to move because of load, and which to merge again."""

from collections.abc import Mapping

from laburnumyard.core.ids import Seconds, TargetName
from laburnumyard.core.keys import HashRange
from laburnumyard.core.ownership._balance_settings import BalanceSettings
from laburnumyard.core.ownership._head import Snapshot
from laburnumyard.core.ownership._hints import MergeRequested, MoveRequested
from laburnumyard.core.ownership._load_table import Heat, LoadTable
from laburnumyard.core.ownership._merge_candidates import (
    NeighbourFinder,
    Neighbours,
    nearest_large,
)
from laburnumyard.core.ownership._move_selection import best_move, hottest
from laburnumyard.core.ownership._service_plan import ServicePlan
from laburnumyard.schema._generated.messages import LoadReport

# How many ranges are worked through before others get their turn.
SLICE_RANGES = 256

Proposal = MoveRequested | MergeRequested


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
    ) -> list[Proposal]:
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
        planning = PlanningRound(self, snapshot, plan, now)
        proposals: list[Proposal] = []
        while not planning.is_done:
            proposals.extend(planning.advance(now))
        return proposals

    def refill(self, now: Seconds) -> None:
        """Add to the budget what the time since the last call allows."""
        if self.proposed_at is not None:
            gained = (now - self.proposed_at) * self.settings.moves_per_s
            self.budget = min(self.settings.move_burst, self.budget + gained)
        self.proposed_at = now

    def weights(
        self,
        snapshot: Snapshot,
        plan: ServicePlan,
        now: Seconds,
    ) -> dict[TargetName, float]:
        """Return the slots that count of each target that stays."""
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

    def is_uneven(
        self,
        busy: Mapping[TargetName, float],
        weights: Mapping[TargetName, float],
    ) -> bool:
        """Tell whether moves are worth while, with hysteresis."""
        busiest = hottest(busy, weights)
        mean = sum(busy.values()) / sum(weights.values())
        above = busy[busiest] / weights[busiest] - mean
        if above > self.settings.start_above:
            self.is_moving = True
        if above < self.settings.stop_below:
            self.is_moving = False
        return self.is_moving

    def _warmth(self, age: float) -> float:
        return min(1, max(self.settings.ramp_floor, age / self.settings.ramp))


class PlanningRound:
    """One look at all ranges of a service, in steps that take little time.

    Parameters
    ----------
    planner
        Whose table and budget it uses.
    snapshot
        The assignment in force when it begins.
    plan
        What the configuration says.
    now
        The time.
    """

    def __init__(
        self,
        planner: LoadPlanner,
        snapshot: Snapshot,
        plan: ServicePlan,
        now: Seconds,
    ) -> None:
        """Start before the first range."""
        self.planner = planner
        self.snapshot = snapshot
        self.plan = plan
        self.place = 0
        self.heats: dict[TargetName, list[Heat]] = {}
        self.busy: dict[TargetName, float] = {}
        self.weights: dict[TargetName, float] = {}
        self.finder = NeighbourFinder(plan)
        self.neighbours: list[Neighbours] = []
        self.has_moves = False
        self.is_done = False
        planner.table.begin(snapshot.assignment, now)

    def advance(self, now: Seconds) -> list[Proposal]:
        """Do a bounded part of the work.

        Parameters
        ----------
        now
            The time.

        Returns
        -------
        list of MoveRequested or MergeRequested
            What this part has found.
        """
        if self.place < len(self.snapshot.assignment.ranges):
            self._roll(now)
            return []
        if not self.weights:
            self._weigh(now)
        move = self._next_move()
        if move is not None:
            self.has_moves = True
            return [move]
        self.is_done = True
        return [] if self.has_moves else self._adjoin()

    def _roll(self, now: Seconds) -> None:
        part = slice(self.place, self.place + SLICE_RANGES)
        heats = self.planner.table.roll(part, now)
        self.place = part.stop
        for heat in heats:
            self.heats.setdefault(heat.target, []).append(heat)
            self.busy[heat.target] = self.busy.get(heat.target, 0) + heat.busy
        self.neighbours.extend(self.finder.find(heats))

    def _weigh(self, now: Seconds) -> None:
        planner = self.planner
        planner.table.end()
        planner.refill(now)
        self.weights = planner.weights(self.snapshot, self.plan, now)
        self.busy = {name: self.busy.get(name, 0) for name in self.weights}

    def _next_move(self) -> MoveRequested | None:
        planner = self.planner
        if planner.budget < 1 or not self.weights:
            return None
        if not planner.is_uneven(self.busy, self.weights):
            return None
        source = hottest(self.busy, self.weights)
        heats = self.heats.get(source, [])
        best = best_move(heats, source, self.busy, self.weights, self.plan)
        peak = self.busy[source] / self.weights[source]
        if best is None or best.peak > peak - planner.settings.least_gain:
            return None
        # What has moved, and what is left of a range that was split, stays.
        self.heats[source] = [
            heat for heat in heats if not heat.part.overlaps(best.part)
        ]
        self.busy[source] -= best.busy
        self.busy[best.to] += best.busy
        planner.budget -= 1
        return MoveRequested(best.part, best.to)

    def _adjoin(self) -> list[Proposal]:
        returns = nearest_large(self.neighbours).values()
        moves: list[Proposal] = [
            MoveRequested(pair.small.part, pair.large.target)
            for pair in returns
            if self._goes_back(pair)
        ]
        return moves or [
            MergeRequested(
                HashRange(pair.left.part.start, pair.right.part.stop),
            )
            for pair in self.neighbours
            if pair.left.target == pair.right.target
        ]

    def _goes_back(self, pair: Neighbours) -> bool:
        # A range that was split off for a hot key goes back to its neighbour
        # once it is cold, so that both can be merged.
        planner = self.planner
        is_apart = pair.small.target != pair.large.target
        is_wanted = is_apart and pair.large.target in self.weights
        is_cold = pair.small.busy < planner.settings.cold_busy
        can_move = is_wanted and is_cold and planner.budget >= 1
        planner.budget -= can_move
        return can_move
