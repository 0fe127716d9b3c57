"""Placement of large and small payloads between data centres."""

from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.ids import DataCentre
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
