"""Decisions when room is short: waits, refusals and returns."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from laburnumyard.core.ids import Seconds
from laburnumyard.core.scheduling import (
    BudgetMeter,
    Outcome,
    Refuse,
    RunReport,
    Scheduler,
    SchedulerSettings,
    Send,
)
from laburnumyard.core.scheduling._return_times import (
    SLICE_S,
    Claim,
    ReturnTimes,
)
from tests.core.scheduling.conftest import BUDGET, make_record, make_work


def submit(service, work, now=0, is_returned=False):
    return service.submit(work, now, is_returned=is_returned)


def test_urgent_request_is_taken_behind_many_less_urgent_ones(
    single_slot_scheduler,
):
    """Guards against a rank-0 request that is refused for what it overtakes."""
    for _ in range(20):
        submit(single_slot_scheduler, make_work(rank=2))
    urgent = make_work(rank=0, due=0.26)
    decisions = submit(single_slot_scheduler, urgent)
    assert_that(any(each.work is urgent for each in decisions), Is(False))
    assert_that(single_slot_scheduler.waiting[0], Is(urgent))


def test_what_more_urgent_requests_made_too_late_is_refused_early(
    single_slot_scheduler,
):
    """Guards against requests that are held until their own time is over."""
    submit(single_slot_scheduler, make_work())
    common = make_work(rank=2)
    submit(single_slot_scheduler, common)
    for _ in range(6):
        submit(single_slot_scheduler, make_work(rank=0, due=1, expires=2))
    refused = [
        each.work
        for each in single_slot_scheduler.tick(0.05)
        if isinstance(each, Refuse)
    ]
    assert_that(refused, Equals([common]))


def test_second_sends_go_after_first_sends_of_their_rank(
    single_slot_scheduler,
):
    running = make_work()
    submit(single_slot_scheduler, running)
    second = make_work(sends=1)
    first = make_work()
    for work in (second, first):
        submit(single_slot_scheduler, work)
    decisions = single_slot_scheduler.finish(
        running.work_id, RunReport(Outcome.ANSWERED), 0.05
    )
    assert_that(decisions[0].work, Is(first))


def test_returns_fit_the_spare_room():
    """Guards against refused callers that all return at once."""
    returns = ReturnTimes()
    claims = [Claim(1, 0.1, 1.0, 2.0, 3.0) for _ in range(20)]
    # Room for two requests in each slice.
    capacity = 0.2 / SLICE_S
    times = [returns.reserve(claim, capacity, Seconds(1)) for claim in claims]
    assert_that(max(map(times.count, times)), Equals(2))
    assert_that(max(times) - min(times), GreaterThan(0.4))


def test_returns_without_spare_room_are_spread():
    returns = ReturnTimes()
    claims = [Claim(1, 0.1, 1.0, 2.0, 1.5) for _ in range(10)]
    times = sorted(returns.reserve(claim, 0, Seconds(1)) for claim in claims)
    assert_that(len(set(times)), Equals(10))
    # Later returns could not be served in time.
    assert_that(times[-1], LessThan(1.5))


def test_a_reservation_is_taken_once_by_its_rank():
    returns = ReturnTimes()
    at = returns.reserve(Claim(1, 0.1, 1.0, 2.0, 2.0), 10, Seconds(1))
    assert_that(returns.take(0, at), Is(False))
    assert_that(returns.take(1, at), Is(True))
    assert_that(returns.take(1, at), Is(False))


def test_reservations_that_nobody_took_are_forgotten():
    returns = ReturnTimes()
    returns.reserve(Claim(1, 0.1, 1.0, 2.0, 2.0), 10, Seconds(1))
    returns.forget_past(Seconds(3))
    assert_that(returns.reserved, Equals({}))


@pytest.mark.parametrize('rank', [1, 2])
def test_short_budget_goes_to_the_more_urgent_rank(rank):
    """Guards against rank 0 that gets fewer second sends than others."""
    meter = BudgetMeter(BUDGET)
    meter.try_record_retry(Seconds(0), is_returned=True, rank=0)
    others = [
        meter.try_record_retry(Seconds(0), is_returned=True, rank=rank)
        for _ in range(10)
    ]
    urgent = meter.try_record_retry(Seconds(0), is_returned=True, rank=0)
    assert_that((all(others), urgent), Equals((False, True)))


def test_counted_requests_are_bounded_without_retries():
    """Guards against a meter that grows until a retry is tried."""
    meter = BudgetMeter(BUDGET)
    for number in range(50_000):
        meter.note_request(Seconds(number / 1000))
    assert_that(len(meter.requests.parts), LessThan(110))
    meter.requests.forget_old(Seconds(50))
    assert_that(meter.requests.total, GreaterThan(9800))
    assert_that(meter.requests.total, LessThan(10_002))


def test_slots_that_an_abandoned_request_frees_are_used():
    """Guards against sends of a tick that nobody is told about."""
    service = Scheduler(SchedulerSettings(BUDGET))
    service.update_targets([make_record('one', slots=1)])
    submit(service, make_work(expires=0.5))
    waiting = make_work(now=0.2, due=2, expires=3)
    submit(service, waiting, now=0.2)
    decisions = service.tick(1.1)
    sent = [each.work for each in decisions if isinstance(each, Send)]
    assert_that(sent, Equals([waiting]))
