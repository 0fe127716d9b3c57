"""A pooled service in virtual time: targets of changing speed, kinds, reports.

The model runs the product's scheduler. Machines of targets turn slow and back
at fixed intervals; a request that is running when that happens gets slower or
faster from then on. Parts of a kind's requests cost different amounts of work.
"""

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from statistics import quantiles
from typing import NamedTuple

from laburnumyard.core.cost_classes import cost_class
from laburnumyard.core.ids import (
    AttemptId,
    DataCentre,
    RouteName,
    Seconds,
    ServiceName,
    TargetId,
)
from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.rate_limits import NO_LIMIT
from laburnumyard.core.scheduling import (
    Decision,
    Outcome,
    RunReport,
    Scheduler,
    SchedulerSettings,
    Send,
    Work,
    WorkId,
)
from laburnumyard.core.target_directory import (
    TargetLife,
    TargetRecord,
    TargetState,
)

Reporter = Callable[['Machine', LoadReport], LoadReport | None]
# When, in which order, and what happens then.
Event = tuple[float, int, Callable[[], None]]
TICK_S = 0.05
DATA_CENTRES = ('lima-a', 'lima-b', 'lima-c', 'lima-d')
# Two paths of each kind: what they cost relative to its mean, and how often
# they are called.
PATHS = (('/short/1', 0.6, 0.8), ('/long/1', 2.6, 0.2))


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request, as in the table of the design page."""

    name: str
    rank: int
    per_s: float
    work_s: float
    objective_s: float
    deadline_s: float
    late_share: float


@dataclass(frozen=True, slots=True)
class PooledLoad:
    """What comes, and how targets behave.

    Parameters
    ----------
    kinds
        Kinds of requests.
    targets, slots
        Number of targets, and slots of each.
    speeds
        Lowest and highest speed of a target.
    slow_factor, slow_share, slow_s
        How much slower a machine is at times, in which part of the time, and
        for how long at once.
    tail_share, tail_factor
        Part of the requests that take this much longer.
    has_paths
        Whether the paths of a kind differ in cost.
    """

    kinds: tuple[Kind, ...]
    targets: int = 36
    slots: int = 4
    speeds: tuple[float, float] = (0.5, 1.5)
    slow_factor: float = 3
    slow_share: float = 0.2
    slow_s: float = 0.4
    tail_share: float = 0.03
    tail_factor: float = 7
    has_paths: bool = True


@dataclass(slots=True)
class Machine:
    """The machine of a target, which runs each request at the same speed."""

    name: TargetId
    speed: float
    load: PooledLoad
    random: Random
    slow: list[bool] = field(default_factory=list)
    running: int = 0

    def is_slow(self, now: float) -> bool:
        """Whether the machine is slow at a moment."""
        step = int(now / self.load.slow_s)
        while len(self.slow) <= step:
            self.slow.append(self.random.random() < self.load.slow_share)
        return self.slow[step]

    def slowdown(self, now: float) -> float:
        """Return how long work takes at a moment, relative to usual."""
        return self.load.slow_factor if self.is_slow(now) else 1

    def end_of(self, work_s: float, now: float) -> float:
        """Return when work that begins now has been done."""
        left = work_s / self.speed
        step = int(now / self.load.slow_s)
        while True:
            until = (step + 1) * self.load.slow_s
            slowdown = self.slowdown((step + 0.5) * self.load.slow_s)
            if now + left * slowdown <= until:
                return now + left * slowdown
            left -= max(0, until - now) / slowdown
            now = until
            step += 1


class Call(NamedTuple):
    """A request of the load."""

    at: float
    kind: Kind
    path: str
    work_s: float
    data_centre: str


def truthful(machine: Machine, report: LoadReport) -> LoadReport:
    """Report what is so."""
    return report


def silent(machine: Machine, report: LoadReport) -> None:
    """Report nothing."""


@dataclass(slots=True)
class PooledResult:
    """What the load got, by kind."""

    times: defaultdict[str, list[float]] = field(
        default_factory=partial(defaultdict, list)
    )
    earned: defaultdict[str, float] = field(
        default_factory=partial(defaultdict, float)
    )
    asked: defaultdict[str, int] = field(
        default_factory=partial(defaultdict, int)
    )
    sent_at: defaultdict[str, list[float]] = field(
        default_factory=partial(defaultdict, list)
    )

    def share(self, kind: str) -> float:
        """Return the part of a kind's value that was earned."""
        return self.earned[kind] / max(1, self.asked[kind])

    def total_share(self) -> float:
        """Return the part of the value of all requests."""
        return sum(self.earned.values()) / sum(self.asked.values())

    def quantile(self, percent: int) -> float:
        """Return a quantile of the time of all answers, in seconds."""
        times = [each for found in self.times.values() for each in found]
        return quantiles(times, n=100)[percent - 1]


class PooledModel:
    """A pooled service in virtual time.

    Parameters
    ----------
    load
        What comes, and how targets behave.
    seed
        Of all random draws.
    scheduler
        Places the requests.
    reporter
        What targets report.

    Attributes
    ----------
    reporters
        What single targets report instead, by name.
    """

    def __init__(
        self,
        load: PooledLoad,
        seed: int,
        scheduler: Scheduler | None = None,
        reporter: Reporter = truthful,
    ) -> None:
        """Start all targets."""
        self.load = load
        self.random = Random(seed)
        self.scheduler = scheduler or Scheduler(SchedulerSettings())
        self.reporter = reporter
        self.reporters: dict[str, Reporter] = {}
        self.result = PooledResult()
        self.events: list[Event] = []
        self.numbers = count(1)
        self.calls: dict[WorkId, Call] = {}
        self.now = Seconds(0)
        self.machines = {
            f'target-{number}': Machine(
                TargetId(f'target-{number}'),
                self.random.uniform(*load.speeds),
                load,
                Random(f'{seed}-{number}'),
            )
            for number in range(load.targets)
        }
        self.scheduler.update_targets(
            self.record(name, number)
            for number, name in enumerate(self.machines)
        )

    def record(self, name: str, number: int) -> TargetRecord:
        """Return the entry of a target."""
        return TargetRecord(
            TargetLife(TargetId(name), 1),
            ServiceName('orders'),
            name,
            DataCentre(DATA_CENTRES[number % len(DATA_CENTRES)]),
            self.load.slots,
            TargetState.READY,
            Seconds(0),
        )

    def run(self, until: float) -> PooledResult:
        """Play the load and return what it got."""
        for call in self.draw_calls(until):
            self.at(call.at, partial(self.arrive, call))
        for step in range(int((until + 2) / TICK_S)):
            self.at(step * TICK_S, self.tick)
        while self.events:
            at, _, act = heapq.heappop(self.events)
            self.now = Seconds(at)
            act()
        return self.result

    def draw_calls(self, until: float) -> Iterator[Call]:
        """Yield the requests of all kinds."""
        for kind in self.load.kinds:
            now = self.random.expovariate(kind.per_s)
            while now < until:
                path, factor, _ = self.draw_path()
                tail = self.random.random() < self.load.tail_share
                work_s = kind.work_s * factor
                work_s *= self.random.lognormvariate(-0.125, 0.5)
                work_s *= self.load.tail_factor if tail else 1
                yield Call(
                    now,
                    kind,
                    path,
                    work_s,
                    self.random.choice(DATA_CENTRES),
                )
                now += self.random.expovariate(kind.per_s)

    def draw_path(self) -> tuple[str, float, float]:
        """Draw one of the paths of a kind."""
        if not self.load.has_paths:
            return ('/all/1', 1, 1)
        weights = [path[2] for path in PATHS]
        return self.random.choices(PATHS, weights)[0]

    def at(self, moment: float, act: Callable[[], None]) -> None:
        """Do something at a moment."""
        heapq.heappush(self.events, (moment, next(self.numbers), act))

    def arrive(self, call: Call) -> None:
        """Ask the scheduler for a slot."""
        self.result.asked[call.kind.name] += 1
        path = f'/{call.kind.name}{call.path}'
        work = Work(
            WorkId(next(self.numbers)),
            AttemptId('request'),
            RouteName(call.kind.name),
            call.kind.rank,
            None,
            DataCentre(call.data_centre),
            self.now,
            Seconds(self.now + call.kind.objective_s),
            Seconds(self.now + call.kind.deadline_s),
            cost_class=cost_class('GET', path, 0, None),
        )
        self.calls[work.work_id] = call
        self.carry_out(self.scheduler.submit(work, self.now, is_returned=False))

    def carry_out(self, decisions: Iterable[Decision]) -> None:
        """Run what was sent; what is refused earns nothing."""
        for decision in decisions:
            if isinstance(decision, Send):
                machine = self.machines[decision.target]
                machine.running += 1
                self.result.sent_at[machine.name].append(self.now)
                work = decision.work
                work_s = self.calls[work.work_id].work_s
                end = machine.end_of(work_s, self.now)
                self.at(end, partial(self.finish, work, machine))

    def finish(self, work: Work, machine: Machine) -> None:
        """Answer a request."""
        call = self.calls.pop(work.work_id)
        kind = call.kind
        took = self.now - call.at
        self.result.times[kind.name].append(took)
        if took <= kind.objective_s:
            self.result.earned[kind.name] += 1
        elif took <= kind.deadline_s:
            self.result.earned[kind.name] += kind.late_share
        machine.running -= 1
        report = LoadReport(
            machine.running, 0, self.load.slots, machine.slowdown(self.now)
        )
        reporter = self.reporters.get(machine.name, self.reporter)
        said = RunReport(
            Outcome.ANSWERED, 0, NO_LIMIT, reporter(machine, report)
        )
        self.carry_out(self.scheduler.finish(work.work_id, said, self.now))

    def tick(self) -> None:
        """Let time pass."""
        self.carry_out(self.scheduler.tick(self.now))
