"""Proposes moves that balance load, and merges of split ranges."""

from collections.abc import Mapping

from laburnumyard.core.ids import Seconds, TargetName
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._balance_settings import BalanceSettings
from laburnumyard.core.ownership._head import Snapshot
from laburnumyard.core.ownership._hints import MergeRequested, MoveRequested
from laburnumyard.core.ownership._load_table import LoadTable, SmoothedLoad
from laburnumyard.core.ownership._merge_candidates import (
    AdjacentRangeFinder,
    AdjacentRanges,
    choose_larger_neighbours,
)
from laburnumyard.core.ownership._move_selection import (
    best_move,
    busiest_target,
)
from laburnumyard.core.ownership._service_plan import ServicePlan
from laburnumyard.schema._generated.messages import LoadReport

# Ranges processed in one step, so that other tasks get their turn.
RANGES_PER_STEP = 256

Proposal = MoveRequested | MergeRequested


class LoadPlanner:
    """Proposes moves and merges for one service.

    It is deterministic: the same reports at the same times give the same
    proposals.

    Parameters
    ----------
    settings
        Thresholds and limits of the moves.
    """

    def __init__(self, settings: BalanceSettings | None = None) -> None:
        """Start without load reports."""
        self.settings = settings or BalanceSettings()
        self.table = LoadTable()
        self.is_rebalancing = False
        self.budget = self.settings.move_burst
        self.first_seen_at: dict[TargetName, Seconds] = {}
        self.refilled_at: Seconds | None = None

    def record(self, report: LoadReport) -> None:
        """Add the load that a dispatcher saw since its last report."""
        self.table.record(report)

    def propose(
        self,
        snapshot: Snapshot,
        plan: ServicePlan,
        now: Seconds,
    ) -> list[Proposal]:
        """Return the moves and merges that the lease managers should make.

        Parameters
        ----------
        snapshot
            The current assignment.
        plan
            The configured key ranges and targets.
        now
            The current time, in seconds.

        Returns
        -------
        list of MoveRequested or MergeRequested
            Each must be fed to the manager of the range's owner. A proposal
            that is not carried out is made again later.
        """
        planning = PlanningRound(self, snapshot, plan, now)
        proposals: list[Proposal] = []
        while not planning.is_done:
            proposals.extend(planning.advance(now))
        return proposals

    def refill_budget(self, now: Seconds) -> None:
        """Refill the move budget for the time since the last call."""
        if self.refilled_at is not None:
            gained = (now - self.refilled_at) * self.settings.moves_per_s
            self.budget = min(self.settings.move_burst, self.budget + gained)
        self.refilled_at = now

    def effective_slots(
        self,
        snapshot: Snapshot,
        plan: ServicePlan,
        now: Seconds,
    ) -> dict[TargetName, float]:
        """Return the slots of each target that keeps its ranges, ramped."""
        is_first = not self.first_seen_at
        staying = {
            name: kind.slots
            for name, kind in plan.targets.items()
            if name not in snapshot.head.withdrawn and not kind.draining
        }
        for removed in self.first_seen_at.keys() - staying.keys():
            self.first_seen_at.pop(removed)
        ramp_started_at = now - self.settings.ramp_s if is_first else now
        for added in staying.keys() - self.first_seen_at.keys():
            self.first_seen_at[added] = Seconds(ramp_started_at)
        return {
            name: slots * self._ramp_share(now - self.first_seen_at[name])
            for name, slots in staying.items()
        }

    def is_imbalanced(
        self,
        busy: Mapping[TargetName, float],
        effective_slots: Mapping[TargetName, float],
    ) -> bool:
        """Tell whether the imbalance calls for moves, with hysteresis."""
        busiest = busiest_target(busy, effective_slots)
        mean = sum(busy.values()) / sum(effective_slots.values())
        excess = busy[busiest] / effective_slots[busiest] - mean
        if excess > self.settings.start_above:
            self.is_rebalancing = True
        if excess < self.settings.stop_below:
            self.is_rebalancing = False
        return self.is_rebalancing

    def _ramp_share(self, age: float) -> float:
        return min(
            1, max(self.settings.ramp_start_share, age / self.settings.ramp_s)
        )


class PlanningRound:
    """One planning round over all ranges of a service, in short steps.

    Parameters
    ----------
    planner
        The planner whose load table and move budget the round uses.
    snapshot
        The assignment at the start of the round.
    plan
        The configured key ranges and targets.
    now
        The current time, in seconds.
    """

    def __init__(
        self,
        planner: LoadPlanner,
        snapshot: Snapshot,
        plan: ServicePlan,
        now: Seconds,
    ) -> None:
        """Start at the beginning of the hash space."""
        self.planner = planner
        self.snapshot = snapshot
        self.plan = plan
        self.next_index = 0
        self.smoothed_loads: dict[TargetName, list[SmoothedLoad]] = {}
        self.busy: dict[TargetName, float] = {}
        self.effective_slots: dict[TargetName, float] = {}
        self.adjacent_range_finder = AdjacentRangeFinder(plan)
        self.adjacent_ranges: list[AdjacentRanges] = []
        self.has_moves = False
        self.is_done = False
        planner.table.begin_round(snapshot.assignment, now)

    def advance(self, now: Seconds) -> list[Proposal]:
        """Do a bounded part of the round.

        Parameters
        ----------
        now
            The current time, in seconds.

        Returns
        -------
        list of MoveRequested or MergeRequested
            The proposals of this step.
        """
        if self.next_index < len(self.snapshot.assignment.ranges):
            self._smooth_next_ranges(now)
            return []
        if not self.effective_slots:
            self._compute_effective_slots(now)
        move = self._next_move()
        if move is not None:
            self.has_moves = True
            return [move]
        self.is_done = True
        return [] if self.has_moves else self._propose_merges()

    def _smooth_next_ranges(self, now: Seconds) -> None:
        part = slice(self.next_index, self.next_index + RANGES_PER_STEP)
        smoothed_loads = self.planner.table.smooth(part, now)
        self.next_index = part.stop
        for range_load in smoothed_loads:
            self.smoothed_loads.setdefault(range_load.target, []).append(
                range_load
            )
            self.busy[range_load.target] = (
                self.busy.get(range_load.target, 0) + range_load.busy
            )
        self.adjacent_ranges.extend(
            self.adjacent_range_finder.find(smoothed_loads)
        )

    def _compute_effective_slots(self, now: Seconds) -> None:
        planner = self.planner
        planner.table.end_round()
        planner.refill_budget(now)
        self.effective_slots = planner.effective_slots(
            self.snapshot, self.plan, now
        )
        self.busy = {
            name: self.busy.get(name, 0) for name in self.effective_slots
        }

    def _next_move(self) -> MoveRequested | None:
        planner = self.planner
        if planner.budget < 1 or not self.effective_slots:
            return None
        if not planner.is_imbalanced(self.busy, self.effective_slots):
            return None
        source = busiest_target(self.busy, self.effective_slots)
        smoothed_loads = self.smoothed_loads.get(source, [])
        best = best_move(
            smoothed_loads, source, self.busy, self.effective_slots, self.plan
        )
        peak_utilisation = self.busy[source] / self.effective_slots[source]
        if (
            best is None
            or best.peak_utilisation
            > peak_utilisation - planner.settings.least_gain
        ):
            return None
        # Neither the moved part nor the rest of a split range moves again in
        # this round.
        self.smoothed_loads[source] = [
            range_load
            for range_load in smoothed_loads
            if not range_load.part.overlaps(best.part)
        ]
        self.busy[source] -= best.busy
        self.busy[best.to] += best.busy
        planner.budget -= 1
        return MoveRequested(best.part, best.to)

    def _propose_merges(self) -> list[Proposal]:
        returns = choose_larger_neighbours(self.adjacent_ranges).values()
        moves: list[Proposal] = [
            MoveRequested(pair.smaller.part, pair.larger.target)
            for pair in returns
            if self._should_move_back(pair)
        ]
        return moves or [
            MergeRequested(
                HashRange(pair.left.part.start, pair.right.part.stop),
            )
            for pair in self.adjacent_ranges
            if pair.left.target == pair.right.target
        ]

    def _should_move_back(self, pair: AdjacentRanges) -> bool:
        # A range that was split off for a hot key moves back to the owner of
        # its neighbour once it is cold, so that both can be merged.
        planner = self.planner
        has_two_owners = pair.smaller.target != pair.larger.target
        is_wanted = (
            has_two_owners and pair.larger.target in self.effective_slots
        )
        is_cold = pair.smaller.busy < planner.settings.cold_busy_slots
        can_move = is_wanted and is_cold and planner.budget >= 1
        planner.budget -= can_move
        return can_move
