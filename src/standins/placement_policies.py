"""Ways to place requests of a pooled service, to compare with the product's."""

from functools import partial
from operator import attrgetter
from random import Random

from laburnumyard.core.ids import Seconds, TargetId
from laburnumyard.core.scheduling import (
    Decision,
    Scheduler,
    SchedulerSettings,
    TargetSlots,
    Work,
)

# As in the product.
OCCUPANCY_FACTOR = 0.25
RUNNING = attrgetter('running')


class LeastInFlight(Scheduler):
    """Places a request where the fewest are running."""

    def _choose(self, work: Work, now: Seconds) -> TargetId | None:
        best = min(self.free(work, now), key=RUNNING, default=None)
        return best.record.target if best else None

    def free(self, work: Work, now: Seconds) -> list[TargetSlots]:
        """Return the targets with room."""
        return [
            slots
            for slots in self.targets.values()
            if slots.has_room(now) and slots.record.target not in work.excluded
        ]


class TwoChoices(LeastInFlight):
    """Places a request at the less busy one of two random targets."""

    def __init__(self, settings: SchedulerSettings) -> None:
        """Start without targets."""
        super().__init__(settings)
        self.random = Random(5)

    def free(self, work: Work, now: Seconds) -> list[TargetSlots]:
        """Return two of the targets with room."""
        free = super().free(work, now)
        return self.random.sample(free, min(2, len(free)))


class PresentPace(LeastInFlight):
    """Places a request at the target of the shortest run, by its last runs.

    This is how the scheduler placed requests before it knew their cost.
    """

    def submit(
        self, work: Work, now: Seconds, *, is_returned: bool
    ) -> list[Decision]:
        """Take a request whose cost class is not used."""
        work.cost_class = 0
        return super().submit(work, now, is_returned=is_returned)

    def _choose(self, work: Work, now: Seconds) -> TargetId | None:
        return self.choose(work, now)

    def choose(self, work: Work, now: Seconds) -> TargetId | None:
        """Return the target of the shortest run."""
        run_time = partial(self.run_time, work)
        best = min(self.free(work, now), key=run_time, default=None)
        return best.record.target if best else None

    def run_time(self, work: Work, slots: TargetSlots) -> float:
        """Return the run time at a target, in mean run times."""
        record = slots.record
        pace = self.times.pace(record.target)
        cost = pace * (1 + OCCUPANCY_FACTOR * slots.running / record.slots)
        cost += self.settings.failure_cost * slots.failure_rate
        if record.data_centre == work.data_centre:
            return cost
        return cost + self.cost.distance(work.route)
