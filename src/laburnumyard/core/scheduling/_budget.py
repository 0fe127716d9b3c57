"""The budget of second sends of one service."""

from collections import deque
from dataclasses import dataclass, field

from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling._settings import RetryBudget

# The part of the operator's bound that is given out. All second sends of a
# service are counted here; the rest is for those of gateways that lost their
# coordinator just then.
SAFETY = 0.85
# The part of that which requests may use whose callers can still come back. A
# caller's own return needs no budget; one that has returned has nothing else.
FIRST_TRY_PART = 0.5


@dataclass(slots=True)
class BudgetMeter:
    """Counts requests and second sends in a sliding window.

    Parameters
    ----------
    budget
        The operator's bound.
    """

    budget: RetryBudget
    requests: 'deque[Seconds]' = field(default_factory=deque)
    repeats: 'deque[Seconds]' = field(default_factory=deque)

    def note_request(self, now: Seconds) -> None:
        """Count a request's first send."""
        self.requests.append(now)

    def may_repeat(self, now: Seconds, *, is_returned: bool) -> bool:
        """Count a second send, unless the window is used up.

        Parameters
        ----------
        now
            The time.
        is_returned
            Whether the caller was refused before.

        Returns
        -------
        bool
            Whether the request may be sent once more.
        """
        for times in (self.requests, self.repeats):
            while times and times[0] < now - self.budget.window_s:
                times.popleft()
        allowed = self.budget.ratio * len(self.requests)
        if now >= self.budget.allowance_from:
            allowed += self.budget.allowance
        part = SAFETY if is_returned else SAFETY * FIRST_TRY_PART
        if len(self.repeats) >= part * allowed:
            return False
        self.repeats.append(now)
        return True
