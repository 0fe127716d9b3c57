"""The entry's flow control: two mechanisms of the paper, tried.

Callers of fixed concurrency send their next request when the last one was
answered; their answers are delayed in proportion to their backlog. Callers
of unbounded concurrency can't be slowed down; their fresh requests fail.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bench.requests.figures import (
    Run,
    good_part,
    latencies,
    percentile,
    show,
)
from bench.requests.simulation import Clock
from bench.requests.variants import ENTRIES, Dispatchers, Fleet
from bench.requests.workload import (
    DEADLINE,
    Demand,
    Job,
    Service,
    Source,
    draw_job,
    jobs,
)
from laburnumyard.core.errors import ErrorKind
from laburnumyard.core.requests import refusal_delay

# From a backlog and whether the answer is good to a delay in seconds.
Control = Callable[[int, bool], float]

DURATION = 3
# The callers begin within this time, in seconds.
START_SPREAD = 0.1
BATCH = 'batch'
INTERACTIVE = 'arequipa'
INTERACTIVE_PART = 0.3
CONCURRENCIES = (150, 1500)
# The delay of every answer for each request held, in seconds.
ALL_DELAY = 0.001
# A refused batch caller tries again after this time, in seconds.
REFUSED_PAUSE = 0.005


def no_delay(backlog: int, is_good: bool) -> float:
    """Answer at once."""
    return 0


def delay_all(backlog: int, is_good: bool) -> float:
    """Delay every answer by a millisecond for each request held."""
    return backlog * ALL_DELAY


def delay_refusals(backlog: int, is_good: bool) -> float:
    """Delay refusals as the product does."""
    if is_good:
        return 0
    return refusal_delay(ErrorKind.OVERLOADED, backlog, DEADLINE)


CONTROLS: tuple[Control, ...] = (no_delay, delay_all, delay_refusals)


@dataclass(slots=True)
class Totals:
    """What one run came to."""

    batch_good: int = 0
    batch_refused: int = 0


class BatchCallers:
    """A fixed number of callers, each with one request at a time."""

    def __init__(
        self,
        clock: Clock,
        service: Service,
        control: Control,
    ) -> None:
        """Start with no request sent."""
        self.clock = clock
        self.source = Source(service, BATCH, 1, Demand(1))
        self.control = control
        self.random = Random(1)
        self.totals = Totals()
        # Requests that each entry holds.
        self.backlogs = [0 for _ in range(ENTRIES)]
        self.sent = 0
        self.way: Dispatchers | None = None

    def send(self) -> None:
        """Send the next request of one caller."""
        if self.clock.now > DURATION:
            return
        self.sent += 1
        job = draw_job(self.random, self.source, self.clock.now, ENTRIES)
        self.backlogs[job.entry] += 1
        job.number = -self.sent
        self.way.arrive(job)

    def on_answer(self, job: Job, is_good: bool) -> None:
        """Take an answer, late by the delay of the flow control."""
        delay = self.control(self.backlogs[job.entry], is_good)
        self.backlogs[job.entry] -= 1
        if is_good:
            self.totals.batch_good += 1
        else:
            self.totals.batch_refused += 1
            delay += REFUSED_PAUSE
        self.clock.after(delay, self.send)


def fixed_concurrency(service: Service, shares: dict, seed: int) -> None:
    """Print what delaying the answers of batch callers does."""
    for concurrency in CONCURRENCIES:
        for control in CONTROLS:
            _fixed(service, shares, seed, concurrency, control)


class Callers:
    """Batch callers and interactive ones, told apart by their customer."""

    def __init__(self, batch: BatchCallers, run: Run) -> None:
        """Start with no answer."""
        self.batch = batch
        self.run = run

    def report(self, job: Job, is_whole: bool) -> None:
        """Give an answer to its caller."""
        if job.customer == BATCH:
            self.batch.on_answer(job, is_whole)
        else:
            self.run.report(job, is_whole)


def _fixed(
    service: Service,
    shares: dict,
    seed: int,
    concurrency: int,
    control: Control,
) -> None:
    clock = Clock()
    fleet = Fleet(clock, [service])
    demand = Demand(1)
    batch = BatchCallers(clock, service, control)
    run = Run(demand, DURATION, fleet)
    batch.way = Dispatchers(fleet, shares, Callers(batch, run).report)
    source = Source(service, INTERACTIVE, INTERACTIVE_PART, demand)
    for job in jobs([source], ENTRIES, DURATION, seed):
        clock.at(job.arrival, batch.way.arrive, job)
    for _ in range(concurrency):
        clock.at(batch.random.random() * START_SPREAD, batch.send)
    clock.run()
    _show(run, batch.totals, f'{concurrency}_callers.{control.__name__}')


def _show(run: Run, totals: Totals, suffix: str) -> None:
    times = latencies(run.endings)
    show(f'batch_goodput_per_s.{suffix}', totals.batch_good / DURATION)
    show(f'batch_refused_per_s.{suffix}', totals.batch_refused / DURATION)
    show(f'interactive_p50_ms.{suffix}', percentile(times, 50))
    show(f'interactive_p99_ms.{suffix}', percentile(times, 99))
    show(f'interactive_good_part.{suffix}', good_part(run.endings))
