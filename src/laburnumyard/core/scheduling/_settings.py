"""Bounds of scheduling."""

import math
from dataclasses import dataclass, replace

from laburnumyard.core.ids import Seconds


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """How many second sends a service bears.

    Parameters
    ----------
    ratio
        Second sends for each request.
    allowance
        Second sends beside these.
    window_s
        The stretch of time in which both hold, in seconds.
    allowance_from
        When the allowance may be used for the first time.
    """

    ratio: float = 0.2
    allowance: float = 50.0
    window_s: float = 10.0
    allowance_from: float = 0

    def succeed(self, now: Seconds) -> 'RetryBudget':
        """Return the budget of a scheduler that takes over.

        The one before may have used the allowance of this window.
        """
        return replace(self, allowance_from=now + self.window_s)

    def without_allowance(self) -> 'RetryBudget':
        """Return the budget of one scheduler among others.

        Shares of the requests add up to the share of all; allowances do not.
        """
        return replace(self, allowance_from=math.inf)


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Bounds of one scheduler.

    Parameters
    ----------
    retry_budget
        The bound on second sends.
    late_share
        Which part of the time between the objective and the timeout may be
        spent before a request counts as hopeless. The callers' value of a
        late answer is low, and a refused caller comes back sooner; 0.2 lost
        5 % of the value of a retry storm.
    distance_cost
        By how much of its run time a target in another data centre counts as
        slower; bytes between data centres are paid for.
    failure_cost
        By how many run times a target that fails every request counts as
        slower.
    is_alone
        Whether all requests of the service are scheduled here; otherwise a
        target may be full of requests that are not counted.
    """

    retry_budget: RetryBudget = RetryBudget()
    late_share: float = 0
    distance_cost: float = 0.25
    failure_cost: float = 6.0
    is_alone: bool = True
