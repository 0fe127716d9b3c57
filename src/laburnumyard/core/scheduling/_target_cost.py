"""Cost by which a request to a pooled service is placed at a target."""

from dataclasses import dataclass, field

from laburnumyard.core.ids import RouteName
from laburnumyard.core.scheduling._run_times import RunTimes
from laburnumyard.core.scheduling._settings import SchedulerSettings
from laburnumyard.core.scheduling._target_slots import TargetSlots
from laburnumyard.core.scheduling._work import Work

# Weight of a new sample in the mean payload of a route; about the last 20
# count.
PAYLOAD_GAIN = 0.05
# A target that is warming up takes about twice as long per request.
WARM_UP_FACTOR = 2
# Share of a run time by which a target with all slots in use is slower.
OCCUPANCY_FACTOR = 0.25


@dataclass(slots=True)
class PayloadSizes:
    """Moving means of the bytes that requests and responses carry.

    Attributes
    ----------
    routes
        Mean size of each route, in bytes.
    """

    routes: dict[RouteName, float] = field(default_factory=dict)

    def expect(self, route: RouteName) -> float:
        """Return the size to expect, in bytes; 0 before the first one."""
        return self.routes.get(route, 0)

    def record(self, route: RouteName, size: int) -> None:
        """Record the size of one request and its response, in bytes."""
        mean = self.routes.get(route, float(size))
        self.routes[route] = mean + PAYLOAD_GAIN * (size - mean)


@dataclass(frozen=True, slots=True)
class TargetCost:
    """Cost of running a request at a target, in mean run times.

    Parameters
    ----------
    settings
        Weights of distance and failures.
    times
        Pace of each target.
    payloads
        Sizes by route.
    """

    settings: SchedulerSettings
    times: RunTimes
    payloads: PayloadSizes

    def of(self, work: Work, slots: TargetSlots) -> float:
        """Return the cost; the target with the lowest one is chosen."""
        record = slots.record
        pace = self.times.pace(record.target)
        if record.warm_up_left_s > 0:
            pace *= WARM_UP_FACTOR
        occupancy = OCCUPANCY_FACTOR * slots.running / record.slots
        failures = self.settings.failure_cost * slots.failure_rate
        is_far = record.data_centre != work.data_centre
        distance = self.distance(work.route) if is_far else 0
        return pace * (1 + occupancy) + distance + failures

    def distance(self, route: RouteName) -> float:
        """Return the penalty of a target in another data centre."""
        settings = self.settings
        by_size = settings.distance_cost_per_byte * self.payloads.expect(route)
        return min(settings.max_distance_cost, settings.distance_cost + by_size)
