"""Moving estimates of run times by route and by target."""

import math
from collections.abc import Container
from dataclasses import dataclass, field

from laburnumyard.core.ids import RouteName, Seconds, TargetId
from laburnumyard.core.scheduling._reported_load import ReportedLoads

# Weight of a new sample in the mean of a route; about the last 30 count.
ROUTE_GAIN = 0.03
# Weight of a new sample in the pace of a target, which adapts within about five
# answers, since targets turn slow within seconds; 0.1 lost 1 % of the value
# when one target turned slow.
PACE_GAIN = 0.2
# Weight of a new sample in the pace that targets are chosen by. It varies less
# by chance: with 0.2, pooled requests earned 0.7 % less near full load.
STEADY_PACE_GAIN = 0.05
# Samples of a mean target that the pace of a target begins with.
PRIOR_RUNS = 2
# Runs of a target count e times less after this time without any, in seconds,
# and its pace returns to that of a mean target: a slow target that gets nothing
# would never be seen to be fast again.
IDLE_MEMORY_S = 4.0
# A target is not idle before this time without runs, in seconds.
IDLE_AFTER_S = 1.0
# A mean of the last five answers counts as a change of the steady pace if its
# logarithm differs from it by more than this.
CHANCE_DIFFERENCE = 0.4
# Mean run time assumed before the first answer, in seconds.
INITIAL_RUN_TIME_S = 0.1
# Samples are capped at this multiple of the expected run time, so that a single
# straggler does not make a target look slow.
MAX_SAMPLE_FACTOR = 3.0
# Clock resolution, in seconds; a run time of 0 would give no pace.
MIN_RUN_TIME_S = 0.001
MAX_PACE = 10.0
MIN_PACE = 0.2


@dataclass(slots=True)
class SteadyPace:
    """Pace of one target at the usual load that it reports.

    Attributes
    ----------
    mean, recent
        Moving means over about the last 20 and the last 5 answers.
    runs
        Number of answers, of which those before idle times count less.
    learned
        The mean, or between both if the target has changed.
    pace
        The same, nearer to 1 after an idle time.
    at
        Time of the last send or answer, in seconds.
    """

    mean: float = 1
    recent: float = 1
    runs: float = 0
    learned: float = 1
    pace: float = 1
    at: float = 0

    def add(self, sample: float, now: float) -> None:
        """Add the relative run time of an answer."""
        sample = min(sample, MAX_SAMPLE_FACTOR * self.learned)
        self.use(now)
        self.runs += 1
        gain = max(STEADY_PACE_GAIN, 1 / (self.runs + PRIOR_RUNS))
        self.mean += gain * (sample - self.mean)
        self.recent += max(gain, PACE_GAIN) * (sample - self.recent)
        difference = math.log(self.recent / self.mean)
        chance = CHANCE_DIFFERENCE / max(CHANCE_DIFFERENCE, abs(difference))
        changed = self.mean * math.exp((1 - chance * chance) * difference)
        self.learned = min(MAX_PACE, max(MIN_PACE, changed))
        self.pace = self.learned

    def use(self, now: float) -> None:
        """Record that the target gets or answers a request.

        After an idle time, what was learned before it no longer counts, but the
        target is chosen once before its answer shows its pace.
        """
        if self.pace < self.learned:
            self.mean = self.pace
            self.recent = self.pace
        if now > self.at:
            self.runs *= math.exp((self.at - now) / IDLE_MEMORY_S)
        self.at = now
        self.pace = self.learned

    def relax(self, now: float) -> None:
        """Let the pace of an idle target return to that of a mean target."""
        idle = now - self.at - IDLE_AFTER_S
        if idle > 0 and self.learned > 1:
            kept = math.exp(-idle / IDLE_MEMORY_S)
            self.pace = 1 + kept * (self.learned - 1)

    def slow_down(self, factor: float) -> None:
        """Increase the pace."""
        self.mean = min(MAX_PACE, self.mean * factor)
        self.recent = min(MAX_PACE, self.recent * factor)
        self.learned = min(MAX_PACE, self.learned * factor)
        self.pace = self.learned


@dataclass(slots=True)
class RunTimes:
    """Moving means of run times.

    Attributes
    ----------
    routes
        Mean run time of each route over all its runs, in seconds.
    paces
        Run time of each target relative to the mean of the route.
    steady
        The same at the usual load that the target reports, over more runs.
    reported
        Load reports of the targets.
    """

    routes: dict[RouteName, Seconds] = field(default_factory=dict)
    paces: dict[TargetId, float] = field(default_factory=dict)
    reported: ReportedLoads = field(default_factory=ReportedLoads)
    steady: dict[TargetId, SteadyPace] = field(default_factory=dict)

    def expect(self, route: RouteName, target: TargetId | None) -> Seconds:
        """Return the run time to expect, in seconds.

        Parameters
        ----------
        route
            The route of the request.
        target
            The target, or None for a target of pace 1.
        """
        mean = self.routes.get(route, INITIAL_RUN_TIME_S)
        return Seconds(mean * self.pace(target))

    def mean(self) -> Seconds:
        """Return the mean run time over the routes, in seconds."""
        if not self.routes:
            return Seconds(INITIAL_RUN_TIME_S)
        return Seconds(sum(self.routes.values()) / len(self.routes))

    def pace(self, target: TargetId | None) -> float:
        """Return the run time at a target relative to the mean; default 1."""
        return self.paces.get(target, 1.0) if target else 1.0

    def present_pace(self, target: TargetId | None, now: Seconds) -> float:
        """Return the pace of a target with what it reported lately."""
        return self.steady_pace(target) * self.reported.stretch(target, now)

    def steady_pace(self, target: TargetId | None) -> float:
        """Return the pace at the usual load that a target reports."""
        steady = self.steady.get(target) if target else None
        return self.pace(target) if steady is None else steady.pace

    def record(
        self,
        route: RouteName,
        target: TargetId,
        run_time: Seconds,
        now: float = 0,
        cost_factor: float = 1,
        stretch: float = 1,
    ) -> None:
        """Record the run time of one request.

        Parameters
        ----------
        route
            The route of the request.
        target
            The target that ran it.
        run_time
            How long it occupied its slot, in seconds.
        now
            The current time, in seconds.
        cost_factor
            Its expected work relative to the mean of the route.
        stretch
            How much longer it was expected to run, by the report of the
            target.
        """
        pace = self.pace(target)
        run_time = Seconds(max(run_time, MIN_RUN_TIME_S))
        mean = self.routes.get(route)
        if mean is None:
            self.routes[route] = run_time
            return
        usual = mean * cost_factor
        sample = min(run_time, MAX_SAMPLE_FACTOR * usual * pace)
        # The sample is not divided by the pace, an estimate from the same
        # samples: the mean would grow with its noise and paces would shrink
        # without bound.
        updated_mean = mean + ROUTE_GAIN * (sample - mean)
        self.routes[route] = Seconds(updated_mean)
        pace += PACE_GAIN * (sample / usual - pace)
        self.paces[target] = min(MAX_PACE, max(MIN_PACE, pace))
        steady = self.steady.get(target)
        if steady is None:
            steady = SteadyPace()
            self.steady[target] = steady
        steady.add(run_time / (usual * stretch), now)

    def slow_down(self, target: TargetId, factor: float) -> None:
        """Increase the pace of a target, as after an interrupted run."""
        pace = self.pace(target) * factor
        self.paces[target] = min(MAX_PACE, pace)
        steady = self.steady.get(target)
        if steady is not None:
            steady.slow_down(factor)

    def keep_only(self, targets: Container[TargetId]) -> None:
        """Forget the steady paces and reports of targets that are gone."""
        self.reported.keep_only(targets)
        self.steady = {
            target: steady
            for target, steady in self.steady.items()
            if target in targets
        }

    def forget(self, target: TargetId) -> None:
        """Reset the pace of a target that was restarted."""
        self.paces.pop(target, None)
        self.steady.pop(target, None)
        self.reported.forget(target)
