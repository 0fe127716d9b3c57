import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.scheduling import Outcome
from laburnumyard.core.scheduling._sender_failures import SenderFailures

NOW = 10.0


@pytest.fixture
def senders():
    return SenderFailures()


# RECOVER: gateways without links to targets had these closed for all others.
def test_a_sender_that_reaches_no_target_says_nothing_of_them(senders):
    said = [
        senders.judge('edge-1', f'i-{number}', Outcome.UNREACHABLE, NOW)
        for number in range(4)
    ]
    assert_that(said[1:], Equals([Outcome.CANCELLED] * 3))


def test_a_dead_target_is_told_by_senders_that_reach_others(senders):
    for target in ('i-1', 'i-2', 'i-3'):
        senders.judge('edge-1', 'i-9', Outcome.ANSWERED, NOW)
        said = senders.judge('edge-1', target, Outcome.UNREACHABLE, NOW)
        assert_that(said, Equals(Outcome.UNREACHABLE))


def test_one_sender_does_not_make_another_suspect(senders):
    for target in ('i-1', 'i-2', 'i-3'):
        senders.judge('edge-1', target, Outcome.UNREACHABLE, NOW)
    said = senders.judge('edge-2', 'i-1', Outcome.UNREACHABLE, NOW)
    assert_that(said, Equals(Outcome.UNREACHABLE))
