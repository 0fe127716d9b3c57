import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.ids import TargetId
from laburnumyard.core.rate_limits import (
    LIMIT_EXPIRY_S,
    MAX_KNOWN_LIMITS,
    NO_LIMIT,
    UNKNOWN_LIMIT,
    KnownLimits,
    LimitKind,
    LimitStatement,
)
from laburnumyard.core.target_directory import TargetLife

LIFE = TargetLife(TargetId('one'), 1)


def stated(per_second):
    return LimitStatement(LimitKind.STATED, per_second)


@pytest.fixture
def limits():
    known = KnownLimits()
    known.record(LIFE, stated(2.5), 0)
    return known


def test_a_limit_holds_until_a_response_without_one(limits):
    assert_that(limits.current(LIFE, 5).per_second, Equals(2.5))
    assert_that(limits.record(LIFE, NO_LIMIT, 6), Is(True))
    assert_that(limits.current(LIFE, 6), Is(None))


@pytest.mark.parametrize(
    'statement', [UNKNOWN_LIMIT, LimitStatement(LimitKind.MALFORMED, text='x')]
)
def test_responses_that_say_nothing_leave_the_limit_in_force(limits, statement):
    assert_that(limits.record(LIFE, statement, 1), Is(False))
    assert_that(limits.current(LIFE, 1).per_second, Equals(2.5))


def test_a_limit_that_nobody_repeats_expires(limits):
    assert_that(limits.current(LIFE, LIMIT_EXPIRY_S), Is(None))


def test_a_limit_belongs_to_one_start_of_a_target(limits):
    later = TargetLife(LIFE.target, 2)
    assert_that(limits.current(later, 1), Is(None))


def test_the_oldest_statement_is_forgotten_first(limits):
    for number in range(MAX_KNOWN_LIMITS):
        life = TargetLife(TargetId(f't{number}'), 1)
        limits.record(life, stated(1), 1)
    assert_that(len(limits.limits), Equals(MAX_KNOWN_LIMITS))
    assert_that(limits.current(LIFE, 1), Is(None))
