"""Which requests of a connection start, without a network.

The pattern is that of callers that pipeline requests without end beside others
that send one at a time.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from laburnumyard.gateway._request_starts import RequestStarts, RunningRequests

CALLERS = 40
PIPELINED = 64
MAX_RUNNING = 512


class Caller:
    """A connection; notes the requests that were started."""

    def __init__(self, running):
        self.started = []
        self.starts = RequestStarts(running, self.started.append)


@pytest.fixture
def running():
    return RunningRequests()


@pytest.fixture
def crowd(running):
    """Return callers that have sent all their pipelined requests."""
    callers = [Caller(running) for _ in range(CALLERS)]
    for caller in callers:
        for number in range(PIPELINED):
            caller.starts.add(number)
    return callers


# 2,560 requests were begun before that of a caller that came later.
def test_pipelines_run_a_bounded_number_of_requests(running, crowd):
    assert_that(running.number, LessThan(MAX_RUNNING))


def test_a_single_request_starts_at_once_beside_a_crowd(running, crowd):
    caller = Caller(running)
    caller.starts.add('single')
    assert_that(caller.started, Equals(['single']))


def test_a_pipeline_of_its_own_is_not_held_up(running):
    caller = Caller(running)
    for number in range(PIPELINED):
        caller.starts.add(number)
    assert_that(caller.started, Equals(list(range(PIPELINED))))


def test_all_requests_run_in_order(running, crowd):
    while running.number:
        for caller in crowd:
            if caller.starts.started:
                caller.starts.note_end()
    expected = list(range(PIPELINED))
    assert_that([each.started for each in crowd], Equals([expected] * CALLERS))


# A caller that leaves holds no place for requests that were not started.
def test_requests_of_a_caller_that_left_are_not_started(running, crowd):
    last = crowd[-1]
    before = list(last.started)
    last.starts.drop_waiting()
    while last.starts.started:
        last.starts.note_end()
    assert_that(last.started, Equals(before))
