"""A budget of calls to the platform's service: a token bucket."""

from dataclasses import dataclass, field

# The share of the burst that calls of low urgency leave to the others.
RESERVED_SHARE = 0.25


@dataclass(slots=True)
class CallBudget:
    """Calls that may be made, refilled at a steady rate.

    One token is one call, a waiting watch included.

    Parameters
    ----------
    calls_per_s
        The rate of refilling.
    burst
        The largest number of calls at once.
    updated
        When the tokens were last counted, in seconds.
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
        """How many tokens calls of low urgency leave, in calls."""
        return self.burst * RESERVED_SHARE

    def take(
        self,
        now: float,
        calls: int = 1,
        *,
        is_urgent: bool = True,
    ) -> bool:
        """Spend tokens if there are as many.

        Parameters
        ----------
        now
            The time, in seconds.
        calls
            How many calls; more than the burst are never granted.
        is_urgent
            False for calls that leave the reserve untouched.

        Returns
        -------
        bool
            Whether the calls may be made.
        """
        self._fill(now)
        needed = calls if is_urgent else calls + self.reserve
        if self.tokens < needed:
            return False
        self.tokens -= calls
        return True

    def _fill(self, now: float) -> None:
        passed = max(0, now - self.updated)
        filled = self.tokens + passed * self.calls_per_s
        self.tokens = min(filled, self.burst)
        self.updated = max(now, self.updated)
