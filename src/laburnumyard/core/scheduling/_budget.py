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
# Fraction of that for each kind that is less urgent than another one of the
# service that needs retries: short budgets go to the more urgent kinds first.
LESS_URGENT_PART = 0.85
# Requests are counted in this many parts of the window, so that the memory used
# does not depend on their rate. A part leaves the window as a whole, up to 1 %
# of the window early, so that no more is allowed than by an exact count.
WINDOW_PARTS = 100


@dataclass(slots=True)
class RequestCount:
    """Number of requests in a sliding window.

    Parameters
    ----------
    window_s
        Length of the window, in seconds.

    Attributes
    ----------
    total
        Requests of all parts.
    parts
        Start of each part with requests, in seconds, and their number.
    """

    window_s: float
    total: int = 0
    parts: 'deque[tuple[float, int]]' = field(default_factory=deque)

    def add(self, now: Seconds) -> None:
        """Count a request."""
        self.total += 1
        part_s = self.window_s / WINDOW_PARTS
        if self.parts and now < self.parts[-1][0] + part_s:
            begun, requests = self.parts[-1]
            self.parts[-1] = (begun, requests + 1)
            return
        self.parts.append((now, 1))
        self.forget_old(now)

    def forget_old(self, now: Seconds) -> None:
        """Forget what is no longer in the window."""
        while self.parts and self.parts[0][0] < now - self.window_s:
            self.total -= self.parts.popleft()[1]


@dataclass(slots=True)
class BudgetMeter:
    """Counts requests and retries in a sliding window.

    Parameters
    ----------
    budget
        The configured bound.
    """

    budget: RetryBudget
    requests: RequestCount = field(init=False)
    retries: 'deque[Seconds]' = field(default_factory=deque)
    # When each rank last asked for a retry, in seconds.
    asked_at: dict[int, Seconds] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start without requests."""
        self.requests = RequestCount(self.budget.window_s)

    def note_request(self, now: Seconds) -> None:
        """Count the first send of a request."""
        self.requests.add(now)

    def try_record_retry(
        self, now: Seconds, *, is_returned: bool, rank: int = 0
    ) -> bool:
        """Count a retry unless the budget of the window is exhausted.

        Parameters
        ----------
        now
            The current time, in seconds.
        is_returned
            Whether the caller was refused before and came back.
        rank
            The priority of the request; 0 is the most urgent.

        Returns
        -------
        bool
            Whether the request may be retried.
        """
        self.requests.forget_old(now)
        while self.retries and self.retries[0] < now - self.budget.window_s:
            self.retries.popleft()
        allowed = self.budget.ratio * self.requests.total
        if now >= self.budget.allowance_from:
            allowed += self.budget.allowance
        fraction = (
            BUDGET_FRACTION if is_returned else BUDGET_FRACTION * FIRST_TRY_PART
        )
        self.asked_at[rank] = now
        fraction *= LESS_URGENT_PART ** self.more_urgent(rank, now)
        if len(self.retries) >= fraction * allowed:
            return False
        self.retries.append(now)
        return True

    def more_urgent(self, rank: int, now: Seconds) -> int:
        """Return how many more urgent kinds needed retries in the window."""
        begun = now - self.budget.window_s
        return sum(
            other < rank and at >= begun for other, at in self.asked_at.items()
        )
