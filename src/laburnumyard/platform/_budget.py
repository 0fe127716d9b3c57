"""The budget of calls to the platform's service."""

from dataclasses import dataclass, field

from laburnumyard.schema._generated.settings import StoreSettings

# The share of the burst that calls of low urgency leave to the others.
RESERVED_SHARE = 0.25


@dataclass(slots=True)
class CallBudget:
    """A token bucket; one token is one call, a waiting watch included.

    Parameters
    ----------
    settings
        Gives the rate, in calls per second, and the burst, in calls.
    updated
        When the tokens were last counted, in seconds.
    """

    settings: StoreSettings
    updated: float
    tokens: float = field(init=False)

    def __post_init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = self.settings.call_burst

    @property
    def reserve(self) -> float:
        """How many tokens calls of low urgency leave, in calls."""
        return self.settings.call_burst * RESERVED_SHARE

    def take(self, now: float, is_urgent: bool = True) -> bool:
        """Spend one token if there is one.

        Parameters
        ----------
        now
            The time, in seconds.
        is_urgent
            False for a call that leaves the reserve untouched.

        Returns
        -------
        bool
            Whether the call may be made.
        """
        self._fill(now)
        needed = 1 if is_urgent else 1 + self.reserve
        if self.tokens < needed:
            return False
        self.tokens -= 1
        return True

    def _fill(self, now: float) -> None:
        passed = max(0, now - self.updated)
        filled = self.tokens + passed * self.settings.calls_per_s
        self.tokens = min(filled, self.settings.call_burst)
        self.updated = max(now, self.updated)
