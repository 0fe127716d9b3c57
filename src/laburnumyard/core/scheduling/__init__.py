"""Queueing, admission and target selection for the requests of a service."""

from laburnumyard.core.scheduling._budget import BudgetMeter
from laburnumyard.core.scheduling._explanation import (
    Candidate,
    Explanation,
    Verdict,
    explain,
    is_explainable,
)
from laburnumyard.core.scheduling._run_report import RunReport
from laburnumyard.core.scheduling._run_times import RunTimes
from laburnumyard.core.scheduling._scheduler import Placement, Scheduler
from laburnumyard.core.scheduling._settings import (
    RetryBudget,
    SchedulerSettings,
)
from laburnumyard.core.scheduling._target_slots import TargetSlots
from laburnumyard.core.scheduling._work import (
    OWN_SENDER,
    Decision,
    Outcome,
    Refusal,
    Refuse,
    Send,
    Work,
    WorkId,
)

__all__ = (
    'OWN_SENDER',
    'BudgetMeter',
    'Candidate',
    'Decision',
    'Explanation',
    'Outcome',
    'Placement',
    'Refusal',
    'Refuse',
    'RetryBudget',
    'RunReport',
    'RunTimes',
    'Scheduler',
    'SchedulerSettings',
    'Send',
    'TargetSlots',
    'Verdict',
    'Work',
    'WorkId',
    'explain',
    'is_explainable',
)
