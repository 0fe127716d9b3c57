"""Expected rest of the requests that targets are running."""

import math
from collections.abc import Mapping
from functools import cache
from statistics import NormalDist

from laburnumyard.core.ids import Seconds, TargetId
from laburnumyard.core.scheduling._run_times import RunTimes
from laburnumyard.core.scheduling._target_slots import TargetSlots
from laburnumyard.core.scheduling._work import Work, WorkId

# Spread of the logarithm of run times that the expected rests are for.
RUN_SPREAD = 0.6
# Steps of the table of expected rests, in expected run times.
REST_STEP = 0.125
MAX_ELAPSED = 8


@cache
def rests() -> tuple[float, ...]:
    """Return the expected rests of runs by how long they have run.

    Both are relative to the expected run time. Run times are taken to be
    log-normal, so a run that is far beyond its expected time has much left.
    """
    normal = NormalDist()
    location = -RUN_SPREAD * RUN_SPREAD / 2
    table = [1.0]
    for step in range(1, round(MAX_ELAPSED / REST_STEP) + 1):
        elapsed = step * REST_STEP
        score = (math.log(elapsed) - location) / RUN_SPREAD
        longer = 1 - normal.cdf(score)
        table.append(normal.cdf(RUN_SPREAD - score) / longer - elapsed)
    return tuple(table)


class RemainingWork:
    """What each target still has to do.

    Parameters
    ----------
    times
        Paces and load reports of the targets.
    """

    def __init__(self, times: RunTimes) -> None:
        """Start without targets."""
        self.times = times
        self.targets: Mapping[TargetId, TargetSlots] = {}
        self.runs: dict[TargetId, dict[WorkId, Work]] = {}

    def update(self, targets: Mapping[TargetId, TargetSlots]) -> None:
        """Replace the targets; runs at removed ones are forgotten."""
        self.targets = targets
        self.runs = {target: self.runs.get(target, {}) for target in targets}

    def add(self, work: Work) -> None:
        """Count a request that was sent."""
        runs = self.runs.get(work.target) if work.target else None
        if runs is not None:
            runs[work.work_id] = work

    def remove(self, work: Work) -> None:
        """Drop a request that has ended."""
        runs = self.runs.get(work.target) if work.target else None
        if runs is not None:
            runs.pop(work.work_id, None)

    def rest(self, work: Work, now: Seconds) -> Seconds:
        """Return the expected rest of a running request, in seconds."""
        pace = self.times.present_pace(work.target, now)
        expected = work.cost * pace
        table = rests()
        step = int((now - work.sent_at) / (expected * REST_STEP))
        return Seconds(expected * table[max(0, min(step, len(table) - 1))])

    def at(self, target: TargetId, now: Seconds) -> Seconds:
        """Return the run time that is left at a target, in slot seconds.

        Parameters
        ----------
        target
            The target.
        now
            The current time, in seconds.
        """
        own = sum(
            self.rest(work, now) for work in self.runs.get(target, {}).values()
        )
        return Seconds(own + self.of_others(target, now))

    def of_others(self, target: TargetId, now: Seconds) -> Seconds:
        """Return what other senders' requests have left, by the report."""
        reports = self.times.reported.targets.get(target)
        if reports is None or not reports.others:
            return Seconds(0)
        trust = self.times.reported.trust(target) * reports.weight(now)
        run_time = self.times.mean() * self.times.present_pace(target, now)
        # Requests of others have run for half their time on average.
        return Seconds(trust * reports.others * run_time / 2)

    def free_in(self, target: TargetId, now: Seconds) -> Seconds:
        """Return the time until a slot of a target is free, in seconds.

        Parameters
        ----------
        target
            The target; one that is not known has no slot to wait for.
        now
            The current time, in seconds.
        """
        slots = self.targets.get(target)
        if slots is None:
            return Seconds(0)
        others = self.of_others(target, now) / slots.record.slots
        if slots.running < slots.record.slots:
            return Seconds(others)
        rests_left = [
            self.rest(work, now) for work in self.runs.get(target, {}).values()
        ]
        if not rests_left:
            # All were sent by an earlier coordinator, at an unknown time.
            run_time = self.times.mean() * self.times.present_pace(target, now)
            return Seconds(others + run_time / slots.record.slots)
        return Seconds(others + min(rests_left))
