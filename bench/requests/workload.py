"""What callers ask for: one list of requests for every variant."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

# One in so many requests is a straggler.
STRAGGLER_INTERVAL = 200
STRAGGLER_FACTOR = 50
# Mean run times, in seconds. Lengths are gamma distributed around them.
SHORT_MEAN = 0.008
LONG_MEAN = 0.08
LENGTH_SHAPE = 4
# The part of the requests that ask for a long operation.
LONG_PART = 0.02
DEADLINE = 0.25
DEFERRED_DEADLINE = 5
SHORT = 'GET bench'
LONG = 'GET report'
PAID = 'clinic'
DEFERRED = 'reports'


@dataclass(frozen=True, slots=True)
class Service:
    """A service and its targets."""

    name: str
    targets: int
    slots: int
    repeatable_part: float

    @property
    def capacity(self) -> float:
        """Requests per second that its slots can run."""
        return self.targets * self.slots / mean_length()


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests per second over time, as parts of the capacity.

    Without a crest the demand is steady at ``calm``.
    """

    calm: float
    crest: float = 0
    period: float = 4
    ramp: float = 0.5

    def at(self, moment: float) -> float:
        """Give the demand at a moment."""
        if not self.crest:
            return self.calm
        into = moment % self.period
        level = self.period / 2 - self.ramp
        rising = (into - level) / self.ramp
        falling = (self.period - into) / self.ramp
        height = max(0, min(1, rising, falling))
        return self.calm + (self.crest - self.calm) * height

    def is_crest(self, moment: float) -> bool:
        """Tell whether the demand is at its highest."""
        return not self.crest or self.at(moment) == self.crest


@dataclass(slots=True)
class Job:
    """One request of a caller."""

    number: int
    service: str
    target: int
    entry: int
    customer: str
    operation: str
    length: float
    is_straggler: bool
    is_repeatable: bool
    arrival: float
    deadline: float


@dataclass(slots=True)
class Source:
    """One customer's requests to one service."""

    service: Service
    customer: str
    part: float
    demand: Demand


def mean_length() -> float:
    """Give the mean time that a request takes a slot, in seconds.

    Stragglers are cut off at their deadline, as all variants do.
    """
    usual = SHORT_MEAN * (1 - LONG_PART) + LONG_MEAN * LONG_PART
    straggler = min(usual * STRAGGLER_FACTOR, DEADLINE)
    rare = 1 / STRAGGLER_INTERVAL
    return usual * (1 - rare) + straggler * rare


def jobs(
    sources: list[Source],
    entries: int,
    duration: float,
    seed: int,
) -> list[Job]:
    """Draw all requests of a run, in the order of their arrival."""
    random = Random(seed)
    drawn = [
        draw_job(random, source, moment, entries)
        for source in sources
        for moment in _arrivals(random, source, duration)
    ]
    drawn.sort(key=lambda job: job.arrival)
    for number, job in enumerate(drawn):
        job.number = number
    return drawn


def _arrivals(random: Random, source: Source, duration: float) -> Iterator:
    rate = source.part * source.service.capacity
    highest = max(source.demand.calm, source.demand.crest)
    moment = random.expovariate(rate * highest)
    while moment < duration:
        if random.random() * highest < source.demand.at(moment):
            yield moment
        moment += random.expovariate(rate * highest)


def draw_job(
    random: Random, source: Source, moment: float, entries: int
) -> Job:
    """Draw one request of a source."""
    service = source.service
    is_long = random.random() < LONG_PART
    mean = LONG_MEAN if is_long else SHORT_MEAN
    length = random.gammavariate(LENGTH_SHAPE, mean / LENGTH_SHAPE)
    is_straggler = random.random() * STRAGGLER_INTERVAL < 1
    factor = STRAGGLER_FACTOR if is_straggler else 1
    is_deferred = source.customer == DEFERRED
    patience = DEFERRED_DEADLINE if is_deferred else DEADLINE
    return Job(
        number=0,
        service=service.name,
        target=random.randrange(service.targets),
        entry=random.randrange(entries),
        customer=source.customer,
        operation=LONG if is_long else SHORT,
        length=length * factor,
        is_straggler=is_straggler,
        is_repeatable=random.random() < service.repeatable_part,
        arrival=moment,
        deadline=moment + patience,
    )
