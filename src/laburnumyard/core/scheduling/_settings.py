"""Settings of the scheduler."""

import math
from dataclasses import dataclass, replace

from laburnumyard.core.ids import Seconds


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Bound on the retries of a service.

    Parameters
    ----------
    ratio
        Retries per request.
    allowance
        Retries in addition to the ratio.
    window_s
        Length of the sliding window for both, in seconds.
    allowance_from
        Time from which the allowance may be used, in seconds.
    """

    ratio: float = 0.2
    allowance: float = 50.0
    window_s: float = 10.0
    allowance_from: float = 0

    def for_successor(self, now: Seconds) -> 'RetryBudget':
        """Return the budget of a scheduler that takes over.

        Its predecessor may have used the allowance of this window.
        """
        return replace(self, allowance_from=now + self.window_s)

    def without_allowance(self) -> 'RetryBudget':
        """Return the budget of one of several concurrent schedulers.

        Ratios of disjoint requests keep the ratio of all of them, but
        allowances would add up.
        """
        return replace(self, allowance_from=math.inf)


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Settings of one scheduler.

    Parameters
    ----------
    retry_budget
        The bound on retries.
    late_share
        Fraction of the time between objective and timeout by which a request
        may be late before it is refused. A late answer has little value to
        callers, and a refused caller retries sooner; 0.2 lost 5 % of the value
        of a retry storm.
    distance_cost
        Penalty of a target in another data centre, in mean run times; traffic
        between data centres is paid for.
    distance_cost_per_byte
        Further penalty by the mean size of a route's requests and responses,
        in mean run times a byte.
    max_distance_cost
        Largest sum of both: a target that is slower by more than this is not
        preferred for being near.
    failure_cost
        Penalty of a target that fails every request, in mean run times.
    is_only_scheduler
        Whether this scheduler handles all requests of the service; otherwise
        a target may be full of requests that are not counted here.
    """

    retry_budget: RetryBudget = RetryBudget()
    late_share: float = 0
    distance_cost: float = 0.25
    distance_cost_per_byte: float = 2e-5
    max_distance_cost: float = 2.0
    failure_cost: float = 6.0
    is_only_scheduler: bool = True
