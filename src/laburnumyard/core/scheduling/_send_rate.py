"""Keeps the requests to targets within the rates that they state."""

import math
from collections.abc import Collection

from laburnumyard.core.ids import Seconds, TargetId
from laburnumyard.core.rate_limits import (
    KnownLimits,
    LimitStatement,
    RateLimit,
)
from laburnumyard.core.target_directory import TargetLife

# Requests that may follow each other at once, as a time at the limit.
BURST_S = 0.5
MIN_BURST = 1.0
# A limited target that has not responded for this long needs a request: only
# its responses tell when the limit ends.
QUIET_AFTER_S = 2.0


class SendRate:
    """Token bucket of one target.

    It starts empty, because an earlier scheduler may have used the tokens of
    the last seconds.

    Parameters
    ----------
    per_second
        Tokens that are added per second.
    now
        The current time, in seconds.
    """

    def __init__(self, per_second: float, now: Seconds) -> None:
        """Create an empty bucket."""
        self.per_second = per_second
        self.tokens = float(0)
        self.refilled_at = now

    def change(self, per_second: float, now: Seconds) -> None:
        """Add tokens at a different rate from now on."""
        self.refill(now)
        self.per_second = per_second

    def has_token(self, now: Seconds) -> bool:
        """Whether a request may be sent now."""
        self.refill(now)
        return self.tokens >= 1

    def take(self, now: Seconds) -> None:
        """Count a request that is sent now."""
        self.refill(now)
        self.tokens -= 1

    def wait(self, requests: int, now: Seconds) -> Seconds:
        """Return the time until a number of requests may be sent."""
        self.refill(now)
        return Seconds(max(0, requests - self.tokens) / self.per_second)

    def refill(self, now: Seconds) -> None:
        """Add the tokens of the time that has passed."""
        passed = max(0, now - self.refilled_at)
        burst = max(MIN_BURST, self.per_second * BURST_S)
        self.tokens = min(burst, self.tokens + passed * self.per_second)
        self.refilled_at = max(self.refilled_at, now)


class RateLimiter:
    """Send rates of the targets that limit their callers.

    Attributes
    ----------
    known
        Limits in force.
    heard_at
        When each target last said whether it limits its callers.
    rates
        Token buckets of the limited targets.
    share
        Part of each limit that this scheduler may use; less than 1 if others
        send to the same targets.
    """

    def __init__(self) -> None:
        """Create a limiter without limits."""
        self.known = KnownLimits()
        self.heard_at: dict[TargetLife, Seconds] = {}
        self.rates: dict[TargetLife, SendRate] = {}
        self.share = float(1)

    def record(
        self, life: TargetLife, statement: LimitStatement, now: Seconds
    ) -> None:
        """Apply what a response of a target says."""
        if statement.is_usable:
            self.heard_at[life] = now
            self.known.record(life, statement, now)

    def adopt(self, life: TargetLife, limit: RateLimit) -> None:
        """Apply a limit that another gateway knows, unless it is outdated."""
        if limit.stated_at > self.heard_at.get(life, -math.inf):
            self.heard_at[life] = limit.stated_at
            self.known.adopt(life, limit)

    def rate_of(self, life: TargetLife, now: Seconds) -> SendRate | None:
        """Return the send rate of a target, None if it states no limit."""
        if not self.known.limits:
            return None
        limit = self.known.current(life, now)
        if limit is None:
            self.rates.pop(life, None)
            return None
        per_second = self.share * limit.allowed_per_second
        rate = self.rates.setdefault(life, SendRate(per_second, now))
        if rate.per_second != per_second:
            rate.change(per_second, now)
        return rate

    def limited(self) -> set[TargetLife]:
        """Return the targets with a token bucket or a known limit."""
        return {*self.rates, *self.known.limits}

    def quiet_targets(self, now: Seconds) -> frozenset[TargetId]:
        """Return the limited targets that have not responded lately."""
        return frozenset(
            life.target
            for life in self.known.limits
            if now - self.heard_at.get(life, -math.inf) > QUIET_AFTER_S
        )

    def forget_replaced(self, lives: Collection[TargetLife]) -> None:
        """Forget the instances that later starts of their targets replaced."""
        current = {life.target: life for life in lives}
        for life in self.limited():
            if current.get(life.target, life) != life:
                self.rates.pop(life, None)
                self.known.limits.pop(life, None)
        self.heard_at = {
            life: at
            for life, at in self.heard_at.items()
            if current.get(life.target) == life
        }
