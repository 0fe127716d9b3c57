"""Scheduler state of each target: slots, failure rate and pauses."""

import math
from dataclasses import dataclass, field
from operator import attrgetter
from types import MappingProxyType

from laburnumyard.core.admission import (
    ADMITTED,
    RATE_REASONS,
    AdmissionReason,
    decide_admission,
)
from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling._run_times import RunTimes
from laburnumyard.core.scheduling._send_rate import RateLimiter, SendRate
from laburnumyard.core.scheduling._work import Outcome
from laburnumyard.core.target_directory import TargetRecord

# Initial pause after a loss, in seconds, doubled after each further loss; short
# compared with the 3 s of a restart.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.5
# Pause of a target that sheds load, in seconds: about the length of one run.
SHED_PAUSE_S = 0.05
# Pause of a target that a sender knows to be leaving, in seconds: by then a
# coordinator has read its entry, or has been replaced.
LEAVING_PAUSE_S = 2.0
# The same for a target that a sender knows to be cold. Senders hear of an entry
# up to 2 s after a coordinator, so at the end of a warm-up a longer pause would
# keep a warm target from all gateways.
COLD_PAUSE_S = 0.1
# Pauses after outcomes of requests that were not sent, which say nothing about
# failures of the target.
UNSENT_PAUSES = MappingProxyType(
    {
        Outcome.LEAVING: LEAVING_PAUSE_S,
        Outcome.COLD: COLD_PAUSE_S,
        Outcome.LAPSED: 0,
    }
)
# Weight of a new outcome in the moving failure rate; about the last 8 count.
FAILURE_GAIN = 0.12
# Part of the capacity of a limited target that keys are assigned for.
PLANNED_RATE_FRACTION = 0.5
# Outcomes after which a target is probed with one request at a time: it or the
# path to it may be lost, or its responses cost more than others may lose by it.
LOSS_OUTCOMES = frozenset(
    (
        Outcome.UNREACHABLE,
        Outcome.TIMED_OUT,
        Outcome.MISDIRECTED,
        Outcome.OVERSIZED,
    )
)
FAILURE_OUTCOMES = frozenset(
    (
        Outcome.FAILED,
        Outcome.SHED,
        Outcome.UNREACHABLE,
        Outcome.BROKE_OFF,
        Outcome.INVALID,
        Outcome.OVERSIZED,
        Outcome.TIMED_OUT,
    )
)


@dataclass(slots=True)
class TargetSlots:
    """Slots and recent outcomes of one target.

    Parameters
    ----------
    record
        Its latest record in the directory.
    limiter
        Send rates of the service's targets.
    """

    record: TargetRecord
    limiter: RateLimiter = field(default_factory=RateLimiter)
    running: int = 0
    failure_rate: float = 0
    losses: int = 0
    paused_until: float = 0
    # When the last request was sent while the target was not known to be cold.
    warm_sent_at: float = -math.inf
    # Token bucket while the target is cold.
    cold_bucket: SendRate | None = None

    @property
    def has_rates(self) -> bool:
        """Whether a target of the service states a limit."""
        return bool(self.limiter.known.limits)

    def admission(self, now: Seconds) -> AdmissionReason:
        """Return whether the target may get a request now, and why not."""
        return decide_admission(self, now)

    def has_room(self, now: Seconds) -> bool:
        """Whether a request may be sent to the target now."""
        return decide_admission(self, now) is ADMITTED

    def has_free_slot(self, now: Seconds) -> bool:
        """Whether the target has a free slot, whatever its rate."""
        reason = decide_admission(self, now)
        return reason is ADMITTED or reason in RATE_REASONS

    def rate(self, now: Seconds) -> SendRate | None:
        """Return the lower send rate, None if nothing limits the target."""
        limit = self.limiter.rate_of(self.record.life, now)
        cold = self.cold_rate(now)
        if limit is None or cold is None:
            return limit or cold
        return min(limit, cold, key=attrgetter('per_second'))

    def limit_rate(self, now: Seconds) -> SendRate | None:
        """Return the rate that the target states, None without one."""
        return self.limiter.rate_of(self.record.life, now)

    def cold_rate(self, now: Seconds) -> SendRate | None:
        """Return the rate of a cold target, None if it is warm or has none."""
        limiter = self.limiter
        if now >= self.record.cold_until or not limiter.warm_up_per_s:
            return None
        rate = self.cold_bucket
        if rate is None:
            rate = limiter.new_cold_rate(self.record.life, now)
            self.cold_bucket = rate
        per_second = limiter.warm_up_per_s
        if limiter.turns_of or now >= limiter.sole_until:
            per_second = limiter.cold_per_second(now)
        if rate.per_second != per_second:
            rate.change(per_second, now)
        if self.warm_sent_at > rate.held_for:
            rate.hold_after(self.warm_sent_at)
        return rate

    def has_warmed_up(self, record: TargetRecord) -> bool:
        """Whether a new record says that the target is no longer cold.

        Its pace was measured while it was cold. Others would be preferred to it
        for as long as they have room.
        """
        was_cold = self.record.cold_until > 0 and self.limiter.warm_up_per_s > 0
        return was_cold and not record.cold_until

    def capacity(self, times: RunTimes, now: Seconds) -> float:
        """Return the capacity, in slot seconds per second."""
        capacity = self.record.slots / times.pace(self.record.target)
        rate = self.rate(now)
        if rate is None:
            return capacity
        return min(capacity, rate.per_second * times.mean())

    def planned_capacity(self, times: RunTimes, now: Seconds) -> float:
        """Return the capacity to plan the assignment of keys for.

        A target with a send rate gets less than that: arrivals are random, and
        requests for its keys cannot go elsewhere.
        """
        capacity = self.capacity(times, now)
        if self.rate(now) is None:
            return capacity
        return PLANNED_RATE_FRACTION * capacity

    def occupy(self, now: Seconds) -> None:
        """Count a request that is sent now."""
        self.running += 1
        for rate in (self.limit_rate(now), self.cold_rate(now)):
            if rate is not None:
                rate.take(now)
        if now >= self.record.cold_until:
            self.warm_sent_at = now

    def note(
        self, outcome: Outcome, now: Seconds, *, is_count_complete: bool
    ) -> None:
        """Record the outcome of a request that no longer counts as running.

        Parameters
        ----------
        outcome
            The outcome.
        now
            The current time, in seconds.
        is_count_complete
            Whether ``running`` includes all requests at the target.
        """
        if outcome in UNSENT_PAUSES:
            pause = UNSENT_PAUSES.get(outcome, 0)
            self.paused_until = max(self.paused_until, Seconds(now + pause))
            return
        failed = outcome in FAILURE_OUTCOMES
        self.failure_rate += FAILURE_GAIN * (failed - self.failure_rate)
        if outcome in LOSS_OUTCOMES:
            self.losses += 1
            pause = FIRST_PAUSE_S * 2 ** min(self.losses, 6)
            self.paused_until = Seconds(now + min(MAX_PAUSE_S, pause))
        elif outcome is Outcome.SHED:
            # Shedding despite free slots is incidental; a pause would only
            # make these slots unusable.
            if not is_count_complete or self.running + 1 >= self.record.slots:
                self.paused_until = Seconds(now + SHED_PAUSE_S)
        elif outcome in {Outcome.ANSWERED, Outcome.FAILED}:
            self.losses = 0
