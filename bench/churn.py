"""Imbalance and churn of ownership under a swinging load, in virtual time.

Three ways to place the same ranges meet the same demand: ``planner`` is ours,
``eager`` is the same planner without hysteresis and with a budget of a move a
second, ``static`` never moves a range.
"""

import math
import sys
from bisect import bisect_right
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from laburnumyard.core import ownership
from laburnumyard.core.ids import (
    DataCentre,
    KeyHash,
    Seconds,
    ServiceName,
    TargetName,
)
from laburnumyard.core.key_hashing import HASH_SPACE, HashRange, hash_key
from laburnumyard.core.ownership._ranges import merged, reassigned
from laburnumyard.schema._generated.messages import (
    LoadReport,
    OwnedRange,
    RangeLoad,
)

STEP_S = 2
HOUR_S = 3600
HOT_KEYS_LAST_S = 300
SWING_S = 120
LOW, HIGH = 0.25, 1.25
KEYS = 1000
HOT_KEYS = 10
# What the hottest ten keys ask for together.
HOT_SHARE = 0.3
MS_PER_S = 1000
# A range that comes back to an owner within this time was moved for nothing.
RETURN_S = 60
SEEDS = (1, 2, 3)
EAGER = ownership.BalanceSettings(
    start_above=0, stop_below=0, least_gain=0, moves_per_s=1, move_burst=10
)


@dataclass(frozen=True, slots=True)
class Site:
    """The service of one operator that is divided by key."""

    name: str
    targets: int
    slots: int


SITES = (Site('lima_catalogue', 9, 3), Site('kigali_stock', 11, 2))


class Demand:
    """What each key asks for, in slots.

    Parameters
    ----------
    site
        Whose capacity it swings around.
    seed
        Draws keys and noise.
    """

    def __init__(self, site: Site, seed: int) -> None:
        """Draw the keys."""
        self.draw = Random(f'{site.name}/{seed}')
        self.capacity = site.targets * site.slots
        self.keys = [hash_key(f'bench-{number}') for number in range(KEYS)]

    def at(self, now: int) -> dict[KeyHash, float]:
        """Return the slots that each key would keep busy."""
        half = (HIGH - LOW) / 2
        wave = math.sin(2 * math.pi * now / SWING_S)
        asked = self.capacity * (LOW + half + half * wave)
        hot = set(Random(now // HOT_KEYS_LAST_S).sample(self.keys, HOT_KEYS))
        common = asked * (1 - HOT_SHARE) / (KEYS - HOT_KEYS)
        return {
            key: self.noise(asked * HOT_SHARE / HOT_KEYS)
            if key in hot
            else common
            for key in self.keys
        }

    def noise(self, busy: float) -> float:
        """Return what a hot key asks for in one step."""
        return busy * self.draw.uniform(0.7, 1.3)


class Placement:
    """One way to place the ranges, and what came of it.

    Parameters
    ----------
    site
        The targets.
    settings
        When ranges move, or None if they never do.
    """

    def __init__(
        self,
        site: Site,
        settings: ownership.BalanceSettings | None,
    ) -> None:
        """Start with the first assignment."""
        self.site = site
        names = tuple(TargetName(f't-{one}') for one in range(site.targets))
        kind = ownership.FencedTarget(DataCentre('lima-1'), slots=site.slots)
        span = ownership.KeyRangePlan(HashRange(0, HASH_SPACE), names)
        self.plan = ownership.ServicePlan(
            ServiceName(site.name), (span,), dict.fromkeys(names, kind)
        )
        self.assignment = ownership.initial_assignment(self.plan)
        self.planner = ownership.LoadPlanner(settings) if settings else None
        self.moves = 0
        self.left_at: dict[tuple[HashRange, TargetName], int] = {}
        self.returns = 0
        self.moved_slots = float(0)
        self.imbalances: list[float] = []

    def step(self, demand: dict[KeyHash, float], now: int) -> None:
        """Serve one step of demand, then follow the planner."""
        loads = self.serve(demand)
        if self.planner is None:
            return
        report = LoadReport(self.site.name, loads)
        self.planner.record(report)
        head = ownership.Head(1, 'bench', ())
        snapshot = ownership.Snapshot(head, self.assignment, 1)
        for hint in self.planner.propose(snapshot, self.plan, Seconds(now)):
            if isinstance(hint, ownership.MoveRequested):
                self.move(hint, demand, now)
            else:
                self.merge(hint.span)

    def serve(self, demand: dict[KeyHash, float]) -> tuple[RangeLoad, ...]:
        """Return what dispatchers meter; a target is busy at most wholly."""
        ranges = self.assignment.ranges
        starts = [owned.start for owned in ranges]
        parts: dict[int, dict[KeyHash, float]] = {}
        asked: Counter[str] = Counter()
        for key, busy in demand.items():
            owned = ranges[bisect_right(starts, key) - 1]
            parts.setdefault(owned.start, {})[key] = busy
            asked[owned.target] += busy
        self.note(asked)
        return tuple(
            self.load(owned, parts[owned.start], asked[owned.target])
            for owned in ranges
            if owned.start in parts
        )

    def note(self, asked: Counter[str]) -> None:
        """Note how far the busiest target is above the mean."""
        mean = asked.total() / self.site.targets
        self.imbalances.append(max(asked.values()) / mean)

    def load(
        self,
        owned: OwnedRange,
        keys: dict[KeyHash, float],
        asked: float,
    ) -> RangeLoad:
        """Return what is metered of one range."""
        part = min(1, self.site.slots / asked) * STEP_S * MS_PER_S
        hottest = max(keys, key=keys.__getitem__)
        busy_ms = sum(keys.values()) * part
        return RangeLoad(
            owned.start,
            owned.last,
            int(busy_ms),
            int(busy_ms),
            hottest,
            int(keys[hottest] * part),
        )

    def move(
        self,
        hint: ownership.MoveRequested,
        demand: dict[KeyHash, float],
        now: int,
    ) -> None:
        """Follow one proposal at once."""
        owner = ownership.owner_of(self.assignment, hint.part)
        self.assignment = reassigned(self.assignment, {hint.part: hint.to})
        left = self.left_at.get((hint.part, hint.to), -HOUR_S)
        self.returns += now - left < RETURN_S
        self.left_at[hint.part, owner] = now
        self.moves += 1
        self.moved_slots += sum(
            busy for key, busy in demand.items() if key in hint.part
        )

    def merge(self, span: HashRange) -> None:
        """Merge the ranges of a span."""
        self.assignment = merged(
            self.assignment,
            lambda left, right: (
                span.start <= left.start and right.last < span.stop
            ),
        )

    def lines(self, name: str) -> Iterator[str]:
        """Yield what came of it."""
        ranked = sorted(self.imbalances)
        middle = ranked[len(ranked) // 2]
        late = ranked[int(len(ranked) * 0.99)]
        yield f'imbalance_median.{name}={middle:.3f}'
        yield f'imbalance_p99.{name}={late:.3f}'
        yield f'churn_moves_per_hour.{name}={self.moves}'
        yield f'churn_returns_per_hour.{name}={self.returns}'
        capacity = self.site.targets * self.site.slots
        share = self.moved_slots / capacity
        yield f'churn_capacity_moved_per_hour.{name}={share:.2f}'
        yield f'ranges_at_end.{name}={len(self.assignment.ranges)}'


def run(site: Site, seed: int) -> Iterator[str]:
    """Run an hour of one site and yield its figures."""
    placements = {
        'planner': Placement(site, ownership.BalanceSettings()),
        'eager': Placement(site, EAGER),
        'static': Placement(site, None),
    }
    demand = Demand(site, seed)
    for now in range(0, HOUR_S, STEP_S):
        asked = demand.at(now)
        for placement in placements.values():
            placement.step(asked, now)
    for name, placement in placements.items():
        yield from placement.lines(f'{site.name}.{name}.seed{seed}')


def main() -> None:
    """Print one line for each figure."""
    for site in SITES:
        for seed in SEEDS:
            sys.stdout.writelines(f'{line}\n' for line in run(site, seed))
            sys.stdout.flush()


if __name__ == '__main__':
    main()
