import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.call_budget import CallBudget


@pytest.fixture
def budget():
    return CallBudget(calls_per_s=2, burst=4, updated=100)


def test_burst_is_spent_and_refilled_at_the_rate(budget):
    taken = [budget.take(100) for _ in range(5)]
    assert_that(taken, Equals([True, True, True, True, False]))
    assert_that(budget.take(100.4), Is(False))
    assert_that(budget.take(100.5), Is(True))
    assert_that(budget.take(100.5), Is(False))


def test_calls_of_low_urgency_leave_the_reserve(budget):
    taken = [budget.take(100, is_urgent=False) for _ in range(4)]
    assert_that(taken, Equals([True, True, True, False]))
    assert_that(budget.take(100), Is(True))


def test_clock_that_steps_back_gives_no_tokens(budget):
    for _ in range(4):
        budget.take(100)
    assert_that(budget.take(50), Is(False))
    assert_that(budget.take(100.4), Is(False))


def test_long_silence_fills_no_more_than_the_burst(budget):
    taken = [budget.take(100_000) for _ in range(5)]
    assert_that(taken.count(True), Equals(4))


def test_several_calls_are_granted_together_or_not_at_all(budget):
    assert_that(budget.take(100, 5), Is(False))
    assert_that(budget.take(100, 3), Is(True))
    assert_that(budget.take(100, 2), Is(False))
    assert_that(budget.take(100, 1), Is(True))
