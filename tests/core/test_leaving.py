"""Leaving targets: which reports count, and for how long."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.leaving import (
    REPORT_EXPIRY_S,
    STAYING_CONFIRMATION_S,
    LeavingTargets,
    Report,
    Reporter,
)

TARGET = 'catalogue-1'
KNOWN = (TARGET,)
INTERVAL_S = 0.2
BOTH = tuple(Reporter)


def leaving(reporter=Reporter.TARGET):
    return Report(TARGET, reporter, is_leaving=True)


def staying(reporter=Reporter.TARGET):
    return Report(TARGET, reporter, is_leaving=False)


@pytest.fixture
def reports():
    return LeavingTargets()


@pytest.mark.parametrize('reporter', BOTH)
def test_the_first_report_counts_at_once_and_only_once(reports, reporter):
    assert_that(reports.take(leaving(reporter), 0), Equals(leaving(reporter)))
    assert_that(reports.take(leaving(reporter), 1), Is(None))
    assert_that(reports.leaving, Equals(KNOWN))


@pytest.mark.parametrize('reporter', BOTH)
def test_a_target_stays_again_after_its_reporter_has_said_so_for_long(
    reports,
    reporter,
):
    reports.take(leaving(reporter), 0)
    assert_that(reports.take(staying(reporter), 1), Is(None))
    almost = 1 + STAYING_CONFIRMATION_S - INTERVAL_S
    assert_that(reports.take(staying(reporter), almost), Is(None))
    decision = reports.take(staying(reporter), 1 + STAYING_CONFIRMATION_S)
    assert_that(decision, Equals(staying(reporter)))
    assert_that(reports.leaving, Equals(()))


def test_a_flapping_target_is_decided_on_once(reports):
    decisions = [
        reports.take((leaving, staying)[step % 2](), step * INTERVAL_S)
        for step in range(1000)
    ]
    assert_that([each for each in decisions if each], Equals([leaving()]))


def test_one_reporter_does_not_take_back_what_another_says(reports):
    reports.take(leaving(Reporter.VM_LIST), 0)
    for moment in range(20):
        assert_that(reports.take(staying(), moment), Is(None))
    reports.take(leaving(), 20)
    reports.take(staying(Reporter.VM_LIST), 21)
    taken_back = reports.take(
        staying(Reporter.VM_LIST), 21 + STAYING_CONFIRMATION_S
    )
    assert_that(taken_back, Is(None))
    assert_that(reports.leaving, Equals(KNOWN))


def test_a_denial_of_what_nobody_said_is_nothing(reports):
    for moment in range(10):
        assert_that(reports.take(staying(), moment), Is(None))


def test_a_report_of_its_own_is_forgotten_in_silence_and_the_lists_is_not(
    reports,
):
    reports.take(leaving(), 0)
    assert_that(reports.forget(KNOWN, REPORT_EXPIRY_S - 1), Equals(()))
    assert_that(reports.forget(KNOWN, REPORT_EXPIRY_S), Equals((staying(),)))
    reports.take(leaving(Reporter.VM_LIST), 0)
    assert_that(reports.forget(KNOWN, 1000 * REPORT_EXPIRY_S), Equals(()))


def test_nothing_is_kept_of_a_target_that_the_configuration_dropped(reports):
    for reporter in BOTH:
        reports.take(leaving(reporter), 0)
    dropped = reports.forget((), 1)
    assert_that(len(dropped), Equals(1))
    assert_that(reports.leaving, Equals(()))
