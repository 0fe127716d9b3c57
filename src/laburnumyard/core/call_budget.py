"""Rate limit of calls to the platform's services: a token bucket."""

from dataclasses import dataclass, field

# Share of the burst that calls of low urgency cannot use.
RESERVED_SHARE = 0.25


@dataclass(slots=True)
class CallBudget:
    """Token bucket that limits calls.

    One token is one call; a pending watch counts as a call too.

    Parameters
    ----------
    calls_per_s
        The refill rate, in calls per second.
    burst
        The capacity, in calls.
    updated
        When the tokens were last refilled, in seconds.
    """

    calls_per_s: float
    burst: int
    updated: float = 0
    tokens: float = field(init=False)

    def __post_init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = self.burst

    @property
    def reserve(self) -> float:
        """Tokens that calls of low urgency cannot use, in calls."""
        return self.burst * RESERVED_SHARE

    def take(
        self,
        now: float,
        calls: int = 1,
        *,
        is_urgent: bool = True,
    ) -> bool:
        """Take tokens if enough are available.

        Parameters
        ----------
        now
            The time, in seconds.
        calls
            Number of calls; more than the burst are never granted.
        is_urgent
            False for calls that must not use the reserve.

        Returns
        -------
        bool
            Whether the calls may be made.
        """
        self._refill(now)
        needed = calls if is_urgent else calls + self.reserve
        if self.tokens < needed:
            return False
        self.tokens -= calls
        return True

    def _refill(self, now: float) -> None:
        elapsed = max(0, now - self.updated)
        filled = self.tokens + elapsed * self.calls_per_s
        self.tokens = min(filled, self.burst)
        self.updated = max(now, self.updated)
