"""Bounds of scheduling."""

from dataclasses import dataclass


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
    """

    ratio: float = 0.2
    allowance: float = 50.0
    window_s: float = 10.0


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
