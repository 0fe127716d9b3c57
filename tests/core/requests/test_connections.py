import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core import requests


@pytest.fixture
def policy():
    return requests.ConnectionPolicy()


def idle(number, opened=0, last_answer=0):
    return requests.Connection(number, opened, last_answer, is_fresh=False)


def test_connection_used_last_is_reused(policy):
    connections = [idle(1, last_answer=1), idle(2, last_answer=1.5)]
    choice = policy.choose(connections, True, 2)
    assert_that(choice, Equals(requests.ConnectionChoice(2, ())))


@pytest.mark.parametrize(
    'stale',
    [idle(1, opened=0, last_answer=99.9), idle(1, opened=90, last_answer=95)],
    ids=['old', 'idle'],
)
def test_stale_connection_is_closed(policy, stale):
    choice = policy.choose([stale], True, 100)
    assert_that(choice, Equals(requests.ConnectionChoice(None, (1,))))


def test_unrepeatable_request_shuns_an_idle_connection(policy):
    connections = [idle(1, last_answer=1)]
    choice = policy.choose(connections, False, 1.5)
    assert_that(choice, Equals(requests.ConnectionChoice(None, ())))


def test_connection_with_an_unread_answer_is_closed(policy):
    connection = idle(1)
    kept = policy.on_answer(connection, is_whole=False, now=1)
    assert_that(kept, Is(False))


def test_timeout_on_a_kept_connection_blames_the_connection(policy):
    policy.on_timeout(idle(1), sent=1)
    assert_that(policy.reachability, Equals(requests.Reachability.SUSPECTED))
    fresh = requests.Connection(2, 3, 3)
    policy.on_answer(fresh, is_whole=True, now=4)
    assert_that(policy.reachability, Equals(requests.Reachability.REACHABLE))


def test_timeout_on_a_fresh_connection_too_blames_the_target(policy):
    policy.on_timeout(idle(1), sent=1)
    policy.on_timeout(requests.Connection(2, 3, 3), sent=3)
    assert_that(policy.reachability, Equals(requests.Reachability.UNREACHABLE))


def test_timeout_casts_doubt_on_what_was_silent_before(policy):
    connections = [idle(1, last_answer=0.5), idle(2, last_answer=1.2)]
    policy.on_timeout(idle(3), sent=1)
    choice = policy.choose(connections, True, 1.5)
    assert_that(choice, Equals(requests.ConnectionChoice(2, (1,))))
