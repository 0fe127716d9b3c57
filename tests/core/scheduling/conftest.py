from itertools import count

import pytest

from laburnumyard.core.ids import (
    AttemptId,
    DataCentre,
    RouteName,
    Seconds,
    ServiceName,
    TargetId,
)
from laburnumyard.core.scheduling import (
    RetryBudget,
    Scheduler,
    SchedulerSettings,
    Work,
    WorkId,
)
from laburnumyard.core.target_directory import (
    TargetLife,
    TargetRecord,
    TargetState,
)

NUMBERS = count(1)
BUDGET = RetryBudget(ratio=0.2, allowance=10, window_s=10)


def make_record(name, slots=2, state=TargetState.READY, started=1):
    return TargetRecord(
        TargetLife(TargetId(name), started),
        ServiceName('catalogue'),
        '127.0.1:8101',
        DataCentre('lima-a'),
        slots,
        state,
        Seconds(0),
    )


def make_work(now=0, rank=1, due=0.4, expires=0.8, **fields):
    return Work(
        WorkId(next(NUMBERS)),
        AttemptId('request'),
        RouteName('benches'),
        rank,
        fields.pop('key', None),
        DataCentre('lima-a'),
        Seconds(now),
        Seconds(now + due),
        Seconds(now + expires),
        **fields,
    )


@pytest.fixture
def scheduler():
    service = Scheduler(SchedulerSettings(BUDGET))
    service.update_targets([make_record('one'), make_record('two')])
    return service


@pytest.fixture
def single_slot_scheduler():
    """A service with a single slot."""
    service = Scheduler(SchedulerSettings(BUDGET))
    service.update_targets([make_record('one', slots=1)])
    return service
