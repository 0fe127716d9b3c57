"""Figures of one run."""

from dataclasses import dataclass, field

from bench.requests.variants import Fleet
from bench.requests.workload import DEFERRED, SHORT, Demand, Job

MILLISECONDS = 1000
# An answer on its way at the deadline still counts, in seconds.
GRACE = 0.004


@dataclass(slots=True)
class Ending:
    """How one request ended for its caller."""

    job: Job
    latency: float
    is_good: bool


@dataclass(slots=True)
class Run:
    """All endings of one run."""

    demand: Demand
    duration: float
    fleet: Fleet
    endings: list[Ending] = field(default_factory=list)

    def report(self, job: Job, is_whole: bool) -> None:
        """Note how a request has ended just now."""
        now = self.fleet.clock.now
        is_good = is_whole and now <= job.deadline + GRACE
        self.endings.append(Ending(job, now - job.arrival, is_good))

    def at_crest(self) -> list[Ending]:
        """Give the endings of what arrived at the crest."""
        return [
            ending
            for ending in self.endings
            if self.demand.is_crest(ending.job.arrival)
        ]

    def goodput(self) -> float:
        """Give the good answers per second at the crest."""
        good = sum(ending.is_good for ending in self.at_crest())
        steps = 1000
        moments = (self.duration * step / steps for step in range(steps))
        part = sum(self.demand.is_crest(moment) for moment in moments) / steps
        return good / (self.duration * part)

    def waits_of_short_work(self) -> list[float]:
        """Give how long short requests waited, in milliseconds."""
        started: dict[int, float] = {}
        for target in self.fleet.targets.values():
            started.update(target.started)
        shorts = (
            ending.job
            for ending in self.at_crest()
            if ending.job.operation == SHORT and ending.job.customer != DEFERRED
        )
        return [
            (started[job.number] - job.arrival) * MILLISECONDS
            for job in shorts
            if job.number in started
        ]

    def imbalance(self) -> float:
        """Give the busiest target's use over the mean, the worst service."""
        worst = []
        for name in self.fleet.services:
            use = [
                target.busy_time
                for place, target in self.fleet.targets.items()
                if place[0] == name
            ]
            worst.append(max(use) * len(use) / sum(use))
        return max(worst)


def show(name: str, figure: float) -> None:
    """Print one figure."""
    rounded = format(figure, '.4g')
    print(f'{name}={rounded}')


def percentile(samples: list[float], percent: float) -> float:
    """Give a percentile; failures count as infinitely late."""
    ordered = sorted(samples)
    if not ordered:
        return float('nan')
    place = min(int(len(ordered) * percent / 100), len(ordered) - 1)
    return ordered[place]


def latencies(endings: list[Ending]) -> list[float]:
    """Give the latencies in milliseconds; infinite where not good."""
    return [
        ending.latency * MILLISECONDS if ending.is_good else float('inf')
        for ending in endings
    ]


def good_part(endings: list[Ending]) -> float:
    """Give the part of the requests that were answered in time."""
    return sum(ending.is_good for ending in endings) / len(endings)
