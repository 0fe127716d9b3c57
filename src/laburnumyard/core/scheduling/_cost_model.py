"""Expected work of requests by route and cost class.

Work times vary widely among equal requests, so a class counts only as far as
its mean differs from that of the class above it by more than chance explains.
Means are those of logarithms, which a few very long runs hardly change.
"""

import math
from dataclasses import dataclass, field

from laburnumyard.core.cost_classes import coarser_classes
from laburnumyard.core.ids import RouteName, Seconds, TargetId
from laburnumyard.core.scheduling._run_times import RunTimes
from laburnumyard.core.scheduling._work import Work

# Samples count e times less after this time, in seconds: what a route's
# requests cost may change within seconds.
MEMORY_S = 4.0
# A class counts if its mean differs by more than two standard errors, which are
# squared here.
MIN_SQUARED_ERRORS = 4.0
# Variance of the logarithm of work times before it is known; work times with
# heavy tails have 0.3 to 0.5.
INITIAL_VARIANCE = 0.5
MIN_VARIANCE = 0.02
# Weight of a new sample in the variance and the mean factor of a route.
ROUTE_GAIN = 0.02
# Logarithms of samples are kept in these bounds.
MAX_LOG = 2.5
# Bound of the expected work relative to the mean of the route, both ways: a
# wrong estimate must not keep requests from running.
MAX_FACTOR = 10.0
# Classes of a service, at about 100 bytes each. Beyond this, the half with the
# fewest samples is forgotten; callers could make up any number of paths.
MAX_CLASSES = 4096


@dataclass(slots=True)
class ClassSamples:
    """Samples of a class, with weights that fall as they age.

    Attributes
    ----------
    weight
        Sum of the weights at the last sample.
    mean
        Mean logarithm of the work, relative to the class above.
    at
        Time of the last sample, in seconds.
    """

    weight: float = 0
    mean: float = 0
    at: float = 0

    def weight_at(self, now: float) -> float:
        """Return the weight that is left of the samples."""
        return self.weight * math.exp((self.at - now) / MEMORY_S)

    def add(self, sample: float, now: float) -> None:
        """Add a sample."""
        self.weight = self.weight_at(now) + 1
        self.mean += (sample - self.mean) / self.weight
        self.at = now

    def effect(self, variance: float, now: float) -> float:
        """Return how far the class differs, 0 unless it does so clearly."""
        chance = MIN_SQUARED_ERRORS * variance
        squared = self.mean * self.mean * self.weight
        if squared <= chance:
            return 0
        if now > self.at:
            squared *= math.exp((self.at - now) / MEMORY_S)
            if squared <= chance:
                return 0
        return self.mean * (1 - chance / squared)


@dataclass(slots=True)
class RouteSamples:
    """Samples of a route.

    Attributes
    ----------
    whole
        Samples of all its requests.
    variance
        Variance of the logarithm of the work within a class.
    factor
        Mean of the factors that were expected; it keeps the mean over the
        classes at that of the route.
    """

    whole: ClassSamples = field(default_factory=ClassSamples)
    variance: float = INITIAL_VARIANCE
    factor: float = 1


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Expected work of a request.

    Parameters
    ----------
    mean
        Time at a target of pace 1, in seconds.
    spread
        Standard deviation of the logarithm of that time.
    age_s
        Time since the last run of the route, in seconds; infinite without one.
    """

    mean: Seconds
    spread: float
    age_s: float


class CostModel:
    """Expected work by route and cost class.

    Parameters
    ----------
    times
        Mean run times of the routes and paces of the targets.
    """

    def __init__(self, times: RunTimes) -> None:
        """Start without samples."""
        self.times = times
        self.routes: dict[RouteName, RouteSamples] = {}
        self.classes: dict[tuple[RouteName, int], ClassSamples] = {}

    def expect(
        self, work: Work, target: TargetId | None, now: Seconds
    ) -> Seconds:
        """Return the expected run time of a request, in seconds.

        Parameters
        ----------
        work
            The request.
        target
            The target that would run it; None for one of pace 1.
        now
            The current time, in seconds.
        """
        run_time = self.times.expect(work.route, None) * self.factor(work, now)
        return Seconds(run_time * self.times.present_pace(target, now))

    def estimate(self, work: Work, now: Seconds) -> WorkEstimate:
        """Return the expected work of a request with its spread and age."""
        route = self.routes.get(work.route)
        if route is None:
            spread = math.sqrt(INITIAL_VARIANCE)
            return WorkEstimate(self.expect(work, None, now), spread, math.inf)
        return WorkEstimate(
            self.expect(work, None, now),
            math.sqrt(route.variance),
            now - route.whole.at,
        )

    def factor(self, work: Work, now: Seconds) -> float:
        """Return the expected work relative to the mean of the route."""
        route = self.routes.get(work.route)
        if route is None or not work.cost_class:
            return 1
        factor = math.exp(self._effect(work, route, now)) / route.factor
        return max(1 / MAX_FACTOR, min(MAX_FACTOR, factor))

    def record(self, work: Work, relative: float, now: Seconds) -> None:
        """Record the measured work of a request.

        Parameters
        ----------
        work
            The request.
        relative
            Its run time relative to the mean of the route at the pace of its
            target.
        now
            The current time, in seconds.
        """
        if not work.cost_class:
            return
        route = self.routes.get(work.route)
        if route is None:
            route = RouteSamples()
            self.routes[work.route] = route
        sample = max(-MAX_LOG, min(MAX_LOG, math.log(relative)))
        route.whole.add(sample, now)
        rest = sample - route.whole.mean
        effects: float = 0
        for number in coarser_classes(work.cost_class):
            samples = self._samples(work.route, number, now)
            samples.add(rest, now)
            effect = samples.effect(route.variance, now)
            rest -= effect
            effects += effect
        squared = max(MIN_VARIANCE, rest * rest)
        route.variance += ROUTE_GAIN * (squared - route.variance)
        route.factor += ROUTE_GAIN * (math.exp(effects) - route.factor)

    def _effect(self, work: Work, route: RouteSamples, now: Seconds) -> float:
        effects: float = 0
        for number in coarser_classes(work.cost_class):
            samples = self.classes.get((work.route, number))
            if samples is None:
                break
            effects += samples.effect(route.variance, now)
        return effects

    def _samples(
        self, route: RouteName, number: int, now: Seconds
    ) -> ClassSamples:
        samples = self.classes.get((route, number))
        if samples is None:
            if len(self.classes) >= MAX_CLASSES:
                self._forget_rare(now)
            samples = ClassSamples()
            self.classes[(route, number)] = samples
        return samples

    def _forget_rare(self, now: Seconds) -> None:
        by_weight = sorted(
            self.classes.items(), key=lambda entry: entry[1].weight_at(now)
        )
        self.classes = dict(by_weight[MAX_CLASSES // 2 :])
