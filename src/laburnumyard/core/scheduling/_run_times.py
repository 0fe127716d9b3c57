"""Moving estimates of run times by route and by target."""

from dataclasses import dataclass, field

from laburnumyard.core.ids import RouteName, Seconds, TargetId

# Weight of a new sample in the mean of a route; about the last 30 count.
ROUTE_GAIN = 0.03
# Weight of a new sample in the pace of a target, which adapts within about five
# answers, since targets turn slow within seconds; 0.1 lost 1 % of the value
# when one target turned slow.
PACE_GAIN = 0.2
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
class RunTimes:
    """Moving means of run times.

    Attributes
    ----------
    routes
        Mean run time of each route over all its runs, in seconds.
    paces
        Run time of each target relative to the mean of the route.
    """

    routes: dict[RouteName, Seconds] = field(default_factory=dict)
    paces: dict[TargetId, float] = field(default_factory=dict)

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

    def record(
        self, route: RouteName, target: TargetId, run_time: Seconds
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
        """
        pace = self.pace(target)
        run_time = Seconds(max(run_time, MIN_RUN_TIME_S))
        mean = self.routes.get(route)
        if mean is None:
            self.routes[route] = run_time
            return
        sample = min(run_time, MAX_SAMPLE_FACTOR * mean * pace)
        # The sample is not divided by the pace, an estimate from the same
        # samples: the mean would grow with its noise and paces would shrink
        # without bound.
        updated_mean = mean + ROUTE_GAIN * (sample - mean)
        self.routes[route] = Seconds(updated_mean)
        pace += PACE_GAIN * (sample / mean - pace)
        self.paces[target] = min(MAX_PACE, max(MIN_PACE, pace))

    def slow_down(self, target: TargetId, factor: float) -> None:
        """Increase the pace of a target, as after an interrupted run."""
        pace = self.pace(target) * factor
        self.paces[target] = min(MAX_PACE, pace)

    def forget(self, target: TargetId) -> None:
        """Reset the pace of a target that was restarted."""
        self.paces.pop(target, None)
