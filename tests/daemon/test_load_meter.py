import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from laburnumyard.core.ids import Version
from laburnumyard.core.routing_table import RoutingTable
from laburnumyard.daemon._load_meter import (
    MAX_KEYS_PER_RANGE,
    SAMPLE_EVERY_REQUESTS,
    LoadMeter,
)
from laburnumyard.schema._generated.messages import Assignment, OwnedRange


@pytest.fixture
def table():
    ranges = (OwnedRange(0, 99, 'c1'), OwnedRange(100, 9999, 'c2'))
    return RoutingTable(Assignment('catalogue', ranges), Version(1))


@pytest.fixture
def meter():
    return LoadMeter()


def test_runs_are_summed_by_range(meter, table):
    for key_hash in (1, 2, 150):
        meter.record(table, key_hash, 0.01)
    report = meter.pop_reports()[0]
    summed = [
        (each.start, each.requests, each.busy_ms) for each in report.ranges
    ]
    assert_that(summed, Equals([(0, 2, 20), (100, 1, 10)]))
    assert_that(meter.pop_reports(), HasLength(0))


def test_the_hottest_key_is_named(meter, table):
    for number in range(40 * SAMPLE_EVERY_REQUESTS):
        meter.record(table, 42 if number % 2 else number % 90, 0.001)
    report = meter.pop_reports()[0]
    assert_that(report.ranges[0].hot_key, Equals(42))


def test_keys_are_bounded(meter, table):
    for number in range(2 * MAX_KEYS_PER_RANGE * SAMPLE_EVERY_REQUESTS):
        meter.record(table, 100 + number, 0)
    keys = meter.ranges['catalogue'][100].keys
    assert_that(keys, HasLength(MAX_KEYS_PER_RANGE))


def test_a_key_in_a_hole_is_not_metered(meter, table):
    meter.record(table, 10_000, 1)
    assert_that(meter.pop_reports(), HasLength(0))
