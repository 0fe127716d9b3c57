"""Compare ways to place pooled requests, in virtual time, and their cost.

Run with ``python -m bench.placement [SEEDS]``. The first table compares ways to
place requests on the pooled services of two deployments; the second the effect
of load reports; the third has microseconds of processor time.
"""

import sys
from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial
from random import Random
from statistics import mean
from timeit import repeat
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
from laburnumyard.core.scheduling import (
    Outcome,
    RunReport,
    Scheduler,
    SchedulerSettings,
    Work,
    WorkId,
)
from laburnumyard.core.target_directory import (
    TargetLife,
    TargetRecord,
    TargetState,
)
from standins.placement_policies import LeastInFlight, PresentPace, TwoChoices
from standins.pooled_model import (
    Kind,
    Machine,
    PooledLoad,
    PooledModel,
    PooledResult,
    Reporter,
    silent,
    truthful,
)

DURATION_S = 20
MS_PER_SECOND = 1000
US_PER_SECOND = 1_000_000
A_FIRST = PooledLoad(
    (Kind('reg-handover', 2, 192, 0.24, 1.519, 3.038, 0.45),), targets=24
)
A_SECOND = PooledLoad(
    (
        Kind('mo-payout', 1, 149, 0.13, 0.519, 2.076, 0.3),
        Kind('bag-manifest', 0, 160, 0.072, 0.26, 1.248, 0.12),
    ),
    targets=14,
)
B_FIRST = PooledLoad(
    (Kind('prize-payout', 1, 231, 0.25, 0.817, 3.064, 0.3),),
    targets=24,
    slow_share=0,
)
POLICIES = (LeastInFlight, TwoChoices, PresentPace, Scheduler)


class Case(NamedTuple):
    """One row of a table."""

    name: str
    load: PooledLoad
    policy: type[Scheduler] = Scheduler
    reporter: Reporter = truthful
    has_liars: bool = False

    def play(self, seed: int) -> PooledResult:
        """Return what the load gets; a liar is every fourth target."""
        scheduler = self.policy(SchedulerSettings())
        model = PooledModel(self.load, seed, scheduler, self.reporter)
        if self.has_liars:
            model.reporter = truthful
            liars = tuple(model.machines)[::4]
            model.reporters.update(dict.fromkeys(liars, self.reporter))
        return model.run(DURATION_S)


def always_slow(machine: Machine, report: LoadReport) -> LoadReport:
    """Report a slow machine at all times."""
    return replace(report, slowdown=3.0)


def at_random(machine: Machine, report: LoadReport) -> LoadReport:
    """Report a slow machine by chance."""
    return replace(report, slowdown=machine.random.choice((1.0, 1.0, 3.0)))


def inverse(machine: Machine, report: LoadReport) -> LoadReport:
    """Report a slow machine when it is not slow."""
    return replace(report, slowdown=4 - (report.slowdown or 1))


def always_full(machine: Machine, report: LoadReport) -> LoadReport:
    """Report requests that are not there."""
    return replace(report, running=50, waiting=machine.random.choice((0, 50)))


def policy_cases() -> Iterator[Case]:
    """Yield the rows that compare policies."""
    loads = {
        'A pooled 1': A_FIRST,
        'A pooled 2': A_SECOND,
        'A pooled 2, 1.15 times': busier(A_SECOND),
        'B pooled 1': B_FIRST,
        'B pooled 1, 1.15 times': busier(B_FIRST),
    }
    for name, load in loads.items():
        for policy in POLICIES:
            yield Case(f'{name} {policy.__name__}', load, policy)


def report_cases() -> Iterator[Case]:
    """Yield the rows that compare reports."""
    yield Case('silent', A_SECOND, reporter=silent)
    for reporter in (always_slow, at_random, inverse, always_full):
        name = reporter.__name__
        yield Case(name, A_SECOND, reporter=reporter)
        yield Case(
            f'{name}, 1 of 4', A_SECOND, reporter=reporter, has_liars=True
        )


def busier(load: PooledLoad) -> PooledLoad:
    """Return a load of 1.15 times as many requests."""
    kinds = [replace(kind, per_s=1.15 * kind.per_s) for kind in load.kinds]
    return replace(load, kinds=tuple(kinds))


def print_case(case: Case, seeds: int) -> None:
    """Print one row: share of the value, quantiles, value by kind."""
    results = [case.play(seed) for seed in range(1, seeds + 1)]
    shares = [each.total_share() for each in results]
    half, most = (
        round(MS_PER_SECOND * mean(each.quantile(part) for each in results))
        for part in (50, 99)
    )
    by_kind = ', '.join(
        f'{kind.name} {mean(each.share(kind.name) for each in results):.3f}'
        for kind in case.load.kinds
    )
    print(
        f'{case.name:38} {mean(shares):.3f} ({min(shares):.3f} to '
        f'{max(shares):.3f}) p50 {half} ms p99 {most} ms; {by_kind}',
        flush=True,
    )


def make_scheduler(targets: int) -> Scheduler:
    """Return a scheduler whose targets have paces and run requests."""
    random = Random(1)
    scheduler = Scheduler(SchedulerSettings())
    scheduler.update_targets(
        TargetRecord(
            TargetLife(TargetId(f'i-{number}'), 1),
            ServiceName('orders'),
            f'127.0.0.1:{number}',
            DataCentre('abcd'[number % 4]),
            4,
            TargetState.READY,
            Seconds(0),
        )
        for number in range(targets)
    )
    scheduler.times.routes[RouteName('orders')] = Seconds(0.1)
    for target, slots in scheduler.targets.items():
        scheduler.times.paces[target] = random.uniform(0.6, 2)
        slots.running = random.choice((0, 1, 2, 3, 4))
    return scheduler


def make_work(number: int, now: float) -> Work:
    """Return a request."""
    return Work(
        WorkId(number),
        AttemptId('request'),
        RouteName('orders'),
        1,
        None,
        DataCentre('a'),
        Seconds(now),
        Seconds(now + 0.5),
        Seconds(now + 2),
        cost_class=cost_class('GET', '/orders/1', 0, None),
    )


def chooser(scheduler: Scheduler) -> Callable[[Work, Seconds], object]:
    """Return what chooses a target."""
    if isinstance(scheduler, PresentPace):
        return scheduler.choose
    return scheduler.cost.choose


def run_once(scheduler: Scheduler, clock: list[float]) -> None:
    """Submit a request, and finish it with a report."""
    clock[0] += 0.001
    now = Seconds(clock[0])
    work = make_work(int(now * US_PER_SECOND), now)
    scheduler.submit(work, now, is_returned=False)
    report = RunReport(Outcome.ANSWERED, 900, load=LoadReport(1, 0, 4, 1.0))
    scheduler.finish(work.work_id, report, Seconds(now + 0.0008))


def print_processor_time(policy: str, targets: int) -> None:
    """Print the microseconds of one placement, and of a whole request."""
    scheduler = make_scheduler(targets)
    if policy == PresentPace.__name__:
        scheduler.__class__ = PresentPace
    rounds = 1000
    choose = partial(chooser(scheduler), make_work(1, 1), Seconds(1))
    placement = min(repeat(choose, number=rounds))
    whole = min(repeat(partial(run_once, scheduler, [1.0]), number=rounds))
    print(
        f'{policy} {targets} targets: placement '
        f'{placement / rounds * US_PER_SECOND:.1f} us, submit and finish '
        f'{whole / rounds * US_PER_SECOND:.1f} us'
    )


def main(seeds: int) -> None:
    """Print all tables."""
    for case in (*policy_cases(), *report_cases()):
        print_case(case, seeds)
    for targets in (30, 130):
        for policy in (PresentPace, Scheduler):
            print_processor_time(policy.__name__, targets)


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 4)
