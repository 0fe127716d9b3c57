"""Placement of large and small payloads between data centres."""

from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.ids import DataCentre
from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.scheduling import (
    Outcome,
    RunReport,
    Scheduler,
    SchedulerSettings,
)
from tests.core.scheduling.conftest import BUDGET, make_record, make_work

DOWNLOAD_BYTES = 90_000
SMALL_BYTES = 400


@pytest.fixture
def service():
    """Return a service with a slow near target and a fast far one."""
    far = replace(make_record('far'), data_centre=DataCentre('lima-b'))
    service = Scheduler(SchedulerSettings(BUDGET))
    service.update_targets([make_record('near'), far])
    service.times.paces.update({'near': 1.4, 'far': 0.7})
    return service


def place(service, now):
    work = make_work(now)
    service.submit(work, now, is_returned=False)
    return work


def run_all(service, payload_bytes):
    for step in range(40):
        work = place(service, step)
        service.finish(
            work.work_id, RunReport(Outcome.SHED, payload_bytes), step
        )
        service.targets[work.target].failure_rate = 0
    return place(service, 50).target


def test_a_download_stays_in_its_data_centre(service):
    """Its bytes between data centres cost more than the faster run gains."""
    assert_that(run_all(service, DOWNLOAD_BYTES), Equals('near'))


def test_a_small_response_is_fetched_from_the_faster_target(service):
    assert_that(run_all(service, SMALL_BYTES), Equals('far'))


def test_a_download_leaves_a_data_centre_without_a_free_slot(service):
    run_all(service, DOWNLOAD_BYTES)
    taken = [place(service, 51).target for _ in range(2)]
    assert_that(taken, Equals(['near', 'far']))


def test_a_failing_near_target_is_left_for_a_far_one(service):
    run_all(service, DOWNLOAD_BYTES)
    service.targets['near'].failure_rate = 0.9
    assert_that(place(service, 52).target, Equals('far'))


def test_a_request_without_a_response_changes_no_size(service):
    run_all(service, DOWNLOAD_BYTES)
    work = place(service, 53)
    service.finish(work.work_id, RunReport(Outcome.UNREACHABLE), 53)
    assert_that(
        round(service.payloads.expect(work.route)), Equals(DOWNLOAD_BYTES)
    )


def reported(slowdown):
    return RunReport(Outcome.ANSWERED, load=LoadReport(1, 0, 2, slowdown))


@pytest.fixture
def uneven():
    """Return a service with a slow target that is free and a fast one."""
    service = Scheduler(SchedulerSettings(BUDGET))
    service.update_targets(
        [make_record('slow', slots=1), make_record('fast', slots=1)]
    )
    service.times.routes['benches'] = 0.1
    service.times.paces.update({'slow': 4, 'fast': 1})
    return service


# A machine is three times as slow for a moment, and a request runs there for
# longer than it would have waited for the next fast slot.
def test_a_request_waits_for_a_much_faster_target(uneven):
    first = place(uneven, 1)
    second = place(uneven, 1.06)
    assert_that((first.target, second.target), Equals(('fast', None)))
    decisions = uneven.finish(first.work_id, reported(1.0), 1.1)
    assert_that([each.target for each in decisions], Equals(['fast']))


def test_only_one_request_waits_for_a_target(uneven):
    """Guards against free slots that stay free while requests queue up."""
    place(uneven, 1)
    second, third = place(uneven, 1.06), place(uneven, 1.06)
    assert_that((second.target, third.target), Equals((None, 'slow')))


def test_a_request_does_not_wait_for_a_run_that_takes_long(uneven):
    """A run beyond its usual time may take as long again."""
    place(uneven, 1)
    second = place(uneven, 1.06)
    uneven.tick(1.8)
    assert_that(second.target, Equals('slow'))


def test_a_request_does_not_wait_for_a_target_that_rests(uneven):
    place(uneven, 1)
    uneven.targets['fast'].paused_until = 2
    assert_that(place(uneven, 1.06).target, Equals('slow'))


def test_what_a_request_may_wait_for_is_not_what_it_was_sent_to(uneven):
    place(uneven, 1)
    work = make_work(1.06, excluded=frozenset(('fast',)))
    uneven.submit(work, 1.06, is_returned=False)
    assert_that(work.target, Equals('slow'))


def test_a_costly_request_goes_to_the_faster_target_far_away(service):
    """A cheap one does not gain there what the distance costs."""
    service.times.paces.update({'near': 1.0, 'far': 0.85})
    service.times.routes['benches'] = 0.1
    cheap = place(service, 1)
    costly = make_work(1)
    costly.cost_factor = 3
    assert_that(cheap.target, Equals('near'))
    assert_that(service.cost.choose(costly, 1), Equals('far'))


@pytest.fixture
def uneven_service():
    """Return a service whose fast target is full and whose slow one is free."""
    service = Scheduler(SchedulerSettings(BUDGET))
    service.update_targets(
        [make_record('fast', slots=1), make_record('slow', slots=1)]
    )
    service.times.routes['benches'] = 0.1
    service.times.paces['slow'] = 4
    service.cost.update(service.targets)
    assert_that(place(service, 0).target, Equals('fast'))
    return service


def test_a_request_waits_for_a_clearly_faster_target(uneven_service):
    assert_that(place(uneven_service, 0.09).target, Equals(None))


def test_no_request_waits_for_a_target_where_it_would_end_too_late(
    uneven_service,
):
    """It was queued, and then refused although a slower target was free."""
    work = make_work(0.09, due=0.1)
    uneven_service.submit(work, 0.09, is_returned=False)
    assert_that(work.target, Equals('slow'))


def test_a_more_urgent_request_takes_the_place_of_one_that_waits(
    uneven_service,
):
    """A less urgent request kept the faster target for itself."""
    later = make_work(0.09, rank=2)
    urgent = make_work(0.09, rank=0)
    for work in (later, urgent):
        uneven_service.submit(work, 0.09, is_returned=False)
    held = uneven_service.cost.reserved['fast']
    assert_that(held.work_id, Equals(urgent.work_id))
