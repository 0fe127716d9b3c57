"""How long requests run, by route and by target."""

from dataclasses import dataclass, field

from laburnumyard.core.ids import RouteName, Seconds, TargetId

# Weight of one more sample in a route's mean; about the last 30 count.
ROUTE_GAIN = 0.03
# A target's pace follows within about five answers, since targets turn slow
# within seconds; 0.1 lost 1 % of the value beside a target that turns slow.
PACE_GAIN = 0.2
# The mean run time taken before the first answer, in seconds.
FIRST_GUESS_S = 0.1
# One straggler must not make a target look slow: a sample counts at most this
# many times the mean.
LONGEST_SAMPLE = 3.0
# Clocks are no finer than this, in seconds; a run of no time has no pace.
LEAST_RUN_S = 0.001
SLOWEST_PACE = 10.0
FASTEST_PACE = 0.2


@dataclass(slots=True)
class RunTimes:
    """Moving means of run times.

    Attributes
    ----------
    routes
        The mean run time of a route over all its runs, in seconds.
    paces
        How many times longer than the mean a target takes.
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
            Where it would run, None for a target of pace 1.
        """
        mean = self.routes.get(route, FIRST_GUESS_S)
        return Seconds(mean * self.pace(target))

    def pace(self, target: TargetId | None) -> float:
        """Return how many times longer than the mean a target takes."""
        return self.paces.get(target, 1.0) if target else 1.0

    def record(
        self, route: RouteName, target: TargetId, run_time: Seconds
    ) -> None:
        """Take in one run.

        Parameters
        ----------
        route
            The route of the request.
        target
            Where it ran.
        run_time
            How long it held its slot, in seconds.
        """
        pace = self.pace(target)
        run_time = Seconds(max(run_time, LEAST_RUN_S))
        mean = self.routes.get(route)
        if mean is None:
            self.routes[route] = run_time
            return
        sample = min(run_time, LONGEST_SAMPLE * mean * pace)
        # Not divided by the pace, which is an estimate from the same samples:
        # the mean would grow with its noise, and paces would shrink, for ever.
        grown = mean + ROUTE_GAIN * (sample - mean)
        self.routes[route] = Seconds(grown)
        pace += PACE_GAIN * (sample / mean - pace)
        self.paces[target] = min(SLOWEST_PACE, max(FASTEST_PACE, pace))

    def slow_down(self, target: TargetId, factor: float) -> None:
        """Expect a target to be slower, as after a run that was cut short."""
        pace = self.pace(target) * factor
        self.paces[target] = min(SLOWEST_PACE, pace)

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that has started anew."""
        self.paces.pop(target, None)
