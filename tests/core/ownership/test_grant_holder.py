import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership import GrantHolder

PART = HashRange(0, 100)
LIFETIME_MS = 1400


@pytest.fixture
def holder():
    """A holder that was sealed with term 2 and got a grant at 100 s."""
    granted = GrantHolder(50.0)
    granted.seal(2, 100.0)
    granted.grant(2, 1, 100_000, LIFETIME_MS, (PART,), 100.1)
    return granted


def test_a_grant_ends_a_lifetime_after_the_reading_it_echoes(holder):
    assert_that(holder.holds(5, 101.3), Is(True))
    assert_that(holder.holds(5, 101.4), Is(False))
    assert_that(holder.holds(100, 101.0), Is(False))


def test_a_late_renewal_extends_nothing(holder):
    answer = holder.renew(2, 1, 100_000, LIFETIME_MS, 130.0)
    assert_that(answer.ranges, Equals(()))


def test_a_renewal_revives_an_expired_grant_of_the_same_token(holder):
    answer = holder.renew(2, 1, 129_900, LIFETIME_MS, 130.0)
    assert_that(answer.ranges, Equals((PART,)))


@pytest.mark.parametrize('clock_ms', [49_000, 102_000])
def test_a_reading_it_never_gave_extends_nothing(holder, clock_ms):
    holder.grant(2, 2, clock_ms, LIFETIME_MS, (PART,), 101.0)
    assert_that(holder.holds(5, 101.0), Is(False))


def test_a_sealed_holder_refuses_lower_terms_and_keeps_its_ranges(holder):
    answer = holder.seal(3, 100.5)
    assert_that(answer.ranges, Equals((PART,)))
    refused = [
        holder.seal(2, 100.6),
        holder.grant(2, 9, 100_500, LIFETIME_MS, (), 100.6),
        holder.renew(2, 1, 100_500, LIFETIME_MS, 100.6),
    ]
    assert_that(
        [one.accepted for one in refused], Equals([False, False, False])
    )
    assert_that(holder.holds(5, 101.3), Is(True))


@pytest.mark.parametrize('sequence', [0, 1])
def test_a_grant_needs_a_higher_sequence(holder, sequence):
    answer = holder.grant(2, sequence, 100_500, LIFETIME_MS, (), 100.6)
    assert_that(answer.accepted, Is(False))
    assert_that(holder.holds(5, 100.6), Is(True))


@pytest.mark.parametrize('sequence', [0, 2])
def test_a_renewal_needs_the_same_sequence(holder, sequence):
    answer = holder.renew(2, sequence, 100_500, LIFETIME_MS, 100.6)
    assert_that(answer.accepted, Is(False))
