"""Retry budget of one service."""

from collections import deque
from dataclasses import dataclass, field

from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling._settings import RetryBudget

# Fraction of the configured bound that is used here. All retries of a service
# are counted here; the rest covers retries by gateways that have just lost
# their coordinator.
BUDGET_FRACTION = 0.85
# Fraction of that for requests whose callers were not refused yet. These can
# still retry themselves without budget; callers that were refused before and
# came back have no other option.
FIRST_TRY_PART = 0.5


@dataclass(slots=True)
class BudgetMeter:
    """Counts requests and retries in a sliding window.

    Parameters
    ----------
    budget
        The configured bound.
    """

    budget: RetryBudget
    requests: 'deque[Seconds]' = field(default_factory=deque)
    retries: 'deque[Seconds]' = field(default_factory=deque)

    def note_request(self, now: Seconds) -> None:
        """Count the first send of a request."""
        self.requests.append(now)

    def try_record_retry(self, now: Seconds, *, is_returned: bool) -> bool:
        """Count a retry unless the budget of the window is exhausted.

        Parameters
        ----------
        now
            The current time, in seconds.
        is_returned
            Whether the caller was refused before and came back.

        Returns
        -------
        bool
            Whether the request may be retried.
        """
        for times in (self.requests, self.retries):
            while times and times[0] < now - self.budget.window_s:
                times.popleft()
        allowed = self.budget.ratio * len(self.requests)
        if now >= self.budget.allowance_from:
            allowed += self.budget.allowance
        fraction = (
            BUDGET_FRACTION if is_returned else BUDGET_FRACTION * FIRST_TRY_PART
        )
        if len(self.retries) >= fraction * allowed:
            return False
        self.retries.append(now)
        return True
