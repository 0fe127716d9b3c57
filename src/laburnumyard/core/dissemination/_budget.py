"""A budget of calls: a token bucket."""


class CallBudget:
    """Calls that may be made, refilled at a steady rate.

    Parameters
    ----------
    calls_per_s
        The rate of refilling, per second.
    burst
        The largest number of calls at once.
    """

    def __init__(self, calls_per_s: float, burst: int) -> None:
        """Start full."""
        self.calls_per_s = calls_per_s
        self.burst = burst
        self.left = float(burst)
        self.filled_at = float(0)

    def take(self, calls: int, now: float) -> bool:
        """Take calls from the budget if it holds as many.

        Parameters
        ----------
        calls
            How many; more than the burst are never granted.
        now
            The boot-time clock, in seconds.
        """
        earned = (now - self.filled_at) * self.calls_per_s
        self.left = min(self.burst, self.left + earned)
        self.filled_at = now
        if self.left < calls:
            return False
        self.left -= calls
        return True
