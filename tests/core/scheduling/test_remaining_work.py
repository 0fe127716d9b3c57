"""Expected rest of running requests."""

from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from laburnumyard.core.scheduling import Outcome, RunReport
from laburnumyard.core.scheduling._remaining_work import RUN_SPREAD
from tests.core.scheduling.conftest import make_record, make_work

RUN_S = 0.1


@pytest.fixture
def service(single_slot_scheduler):
    """A slot whose requests take 0.1 s."""
    single_slot_scheduler.times.routes['benches'] = RUN_S
    return single_slot_scheduler


def send(service, now=1):
    work = make_work(now)
    service.submit(work, now, is_returned=False)
    return work


def free_in(service, now):
    return service.cost.remaining.free_in('one', now)


def test_a_free_slot_is_free_now(service):
    assert_that(free_in(service, 1), Equals(0))
    work = send(service)
    assert_that(free_in(service, 1), GreaterThan(0))
    service.finish(work.work_id, RunReport(Outcome.ANSWERED), 1.1)
    assert_that(free_in(service, 1.1), Equals(0))


# A wait that is computed from whole runs is twice what is left.
@pytest.mark.parametrize('elapsed', [0, 0.5, 1, 2, 4])
def test_the_rest_of_a_run_is_that_of_the_runs_that_last_as_long(
    service, elapsed
):
    send(service)
    random = Random(1)
    runs = [
        random.lognormvariate(-RUN_SPREAD * RUN_SPREAD / 2, RUN_SPREAD)
        for _ in range(100_000)
    ]
    longer = [run - elapsed for run in runs if run > elapsed]
    mean = RUN_S * sum(longer) / len(longer)
    expected = free_in(service, 1 + elapsed * RUN_S + 1e-6)
    assert_that(abs(expected / mean - 1), LessThan(0.1))


def test_a_target_of_twice_the_pace_has_twice_the_rest(service):
    send(service)
    fast = service.cost.remaining.at('one', 1)
    service.times.paces['one'] = 2
    slow = service.cost.remaining.at('one', 1)
    assert_that(round(slow / fast, 6), Equals(2))


def test_a_removed_target_and_its_runs_are_forgotten(service):
    send(service)
    service.update_targets([make_record('two')])
    assert_that(free_in(service, 1), Equals(0))
    assert_that(list(service.cost.remaining.runs), Equals(['two']))


def test_requests_of_an_earlier_coordinator_have_a_whole_run_at_most(service):
    service.adopt(make_work(1), 'one')
    assert_that(free_in(service, 1), Equals(RUN_S))
