"""Keeps the requests to targets within the rates that they tolerate.

A target may state a limit in its responses, and a cold target tolerates only a
few requests per second. If both apply, the lower rate counts.
"""

import math
from collections.abc import Collection

from laburnumyard.core.ids import Seconds, TargetId
from laburnumyard.core.key_hashing import HASH_SPACE, hash_key
from laburnumyard.core.rate_limits import (
    TURN_S,
    UNCOORDINATED_PART,
    KnownLimits,
    LimitStatement,
    RateLimit,
)
from laburnumyard.core.target_directory import TargetLife

# Requests that may follow each other at once, as a time at the limit.
BURST_S = 0.5
MIN_BURST = 1.0
# Part of a token that rounding may add or take away.
ROUNDING = 1e-6
# A cold target gets no burst: two coordinators may send during a takeover.
COLD_BURST_S = 0
# When a target turns cold it may have got many requests in the last second.
COLD_WINDOW_S = 1.0
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
    is_cold
        Whether it is the rate of a cold target.

    Attributes
    ----------
    ready_at
        Time before which there is no token, in seconds.
    held_for
        Time of the last request before the target was known to be cold for
        which the bucket was held, in seconds.
    """

    def __init__(
        self, per_second: float, now: Seconds, *, is_cold: bool = False
    ) -> None:
        """Create an empty bucket."""
        self.per_second = per_second
        self.burst_s = COLD_BURST_S if is_cold else BURST_S
        self.tokens = float(0)
        self.refilled_at = now
        self.held_for = -math.inf
        self.ready_at = float(now)

    def change(self, per_second: float, now: Seconds) -> None:
        """Add tokens at a different rate from now on."""
        self.refill(now)
        self.per_second = per_second
        self.ready_at = now

    def hold_after(self, sent_at: float) -> None:
        """Start to fill one second after a request sent without this rate.

        Otherwise a second could hold requests from before and after the target
        turned cold.
        """
        if sent_at > self.held_for:
            self.held_for = sent_at
            self.tokens = float(0)
            held_until = Seconds(sent_at + COLD_WINDOW_S)
            self.refilled_at = max(self.refilled_at, held_until)
            self.ready_at = self.refilled_at

    def has_token(self, now: Seconds) -> bool:
        """Whether a request may be sent now."""
        # Asked for each target on each request, mostly before its time.
        if now < self.ready_at:
            return False
        self.refill(now)
        if self.tokens >= 1:
            return True
        missing = 1 - self.tokens - ROUNDING
        self.ready_at = self.refilled_at + missing / self.per_second
        return False

    def take(self, now: Seconds) -> None:
        """Count a request that is sent now."""
        self.refill(now)
        self.tokens -= 1

    def wait(self, requests: int, now: Seconds) -> Seconds:
        """Return the time until a number of requests may be sent."""
        self.refill(now)
        held = max(0, self.refilled_at - now)
        missing = max(0, requests - self.tokens)
        return Seconds(held + missing / self.per_second)

    def refill(self, now: Seconds) -> None:
        """Add the tokens of the time that has passed."""
        passed = max(0, now - self.refilled_at)
        burst = max(MIN_BURST, self.per_second * self.burst_s)
        self.tokens = min(burst, self.tokens + passed * self.per_second)
        self.refilled_at = max(self.refilled_at, now)


class TurnRate(SendRate):
    """Turns of one of many gateways that send without a coordinator.

    Token buckets of many gateways would fill up and could be emptied within
    the same second. Instead, each gateway may send one request in a short turn
    of each period, and loses it otherwise. The turns of the gateways are spread
    over the period by a hash.

    Parameters
    ----------
    per_second
        Turns per second.
    now
        The current time, in seconds.
    phase
        Position of the turns in the period, from 0 to 1.
    """

    def __init__(self, per_second: float, now: Seconds, phase: float) -> None:
        """Create the object; no turn is used yet."""
        super().__init__(per_second, now, is_cold=True)
        self.phase = phase
        self.sent_at = -math.inf

    def change(self, per_second: float, now: Seconds) -> None:
        """Have turns at a different rate from now on."""
        self.per_second = per_second

    def has_token(self, now: Seconds) -> bool:
        """Whether the turn of this gateway is now, and unused."""
        if now < self.refilled_at or now < self._next_period():
            return False
        return self._position(now) < TURN_S * self.per_second

    def take(self, now: Seconds) -> None:
        """Use the current turn."""
        self.sent_at = now

    def wait(self, requests: int, now: Seconds) -> Seconds:
        """Return the time until a number of requests may be sent."""
        further = max(0, requests - 1) / self.per_second
        if self.has_token(now):
            return Seconds(further)
        earliest = max(now, self.refilled_at, self._next_period())
        left = (1 - self._position(Seconds(earliest))) / self.per_second
        return Seconds(earliest - now + left + further)

    def _position(self, now: Seconds) -> float:
        return math.modf(now * self.per_second + self.phase)[0]

    def _next_period(self) -> float:
        # A turn may come early when the rate changes.
        return self.sent_at + TURN_S + 0.5 / self.per_second


class RateLimiter:
    """Send rates of the targets of a service that tolerate only so many.

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
    cold_share
        The same for the rate of cold targets.
    warm_up_per_s
        Requests per second that a cold target may get; 0 for no limit.
    sole_until
        Time until which no other scheduler can coordinate the service, in
        seconds.
    turns_of
        Name of the gateway that sends without a coordinator, and takes turns
        with others; empty for a coordinator.
    """

    def __init__(self) -> None:
        """Create a limiter without limits."""
        self.known = KnownLimits()
        self.heard_at: dict[TargetLife, Seconds] = {}
        self.rates: dict[TargetLife, SendRate] = {}
        self.share = float(1)
        self.cold_share = float(1)
        self.warm_up_per_s = float(0)
        self.sole_until = math.inf
        self.turns_of = ''

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

    def cold_per_second(self, now: Seconds) -> float:
        """Return the rate at which this scheduler sends to a cold target."""
        if self.turns_of:
            return self.cold_share * UNCOORDINATED_PART * self.warm_up_per_s
        if now < self.sole_until:
            return self.warm_up_per_s
        return UNCOORDINATED_PART * self.warm_up_per_s

    def new_cold_rate(self, life: TargetLife, now: Seconds) -> SendRate:
        """Return an empty bucket for a cold target, or its turns."""
        per_second = self.cold_per_second(now)
        if self.turns_of:
            name = f'{self.turns_of}/{life.target}/{life.started_at_ms}'
            phase = hash_key(name) / HASH_SPACE
            return TurnRate(per_second, now, phase)
        return SendRate(per_second, now, is_cold=True)

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
