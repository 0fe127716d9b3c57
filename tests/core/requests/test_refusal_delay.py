import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.errors import ErrorKind
from laburnumyard.core.requests import refusal_delay


def test_refusal_is_held_back_in_proportion_to_the_backlog():
    delays = [
        refusal_delay(ErrorKind.OVERLOADED, backlog, 1) for backlog in (0, 20)
    ]
    assert_that(delays, Equals([0, 0.02]))


@pytest.mark.parametrize(
    ('backlog', 'remaining', 'expected'),
    [(10_000, 1, 0.1), (20, 0.005, 0.005), (20, -1, 0)],
    ids=['longest', 'deadline', 'too late'],
)
def test_delay_is_bounded(backlog, remaining, expected):
    delay = refusal_delay(ErrorKind.OVER_SHARE, backlog, remaining)
    assert_that(delay, Equals(expected))


def test_other_failures_are_told_at_once():
    assert_that(refusal_delay(ErrorKind.NO_OWNER, 20, 1), Equals(0))
