import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.reachability import (
    FAILURE_AGE_S,
    SILENCE_S,
    Reach,
    TargetReach,
)

NOW = 100.0


@pytest.fixture
def reach():
    return TargetReach()


def test_one_target_that_refuses_connections_is_no_reason_to_doubt(reach):
    for _ in range(5):
        reach.note_failure('10.0.0.1:80', NOW)
    assert_that(reach.needs_probe(NOW), Is(False))


def test_two_targets_that_cannot_be_reached_are_probed(reach):
    reach.note_failure('10.0.0.1:80', NOW)
    reach.note_failure('10.0.0.2:80', NOW)
    assert_that(reach.needs_probe(NOW), Is(True))
    assert_that(reach.needs_probe(NOW + FAILURE_AGE_S), Is(False))


def test_targets_that_are_gone_are_not_probed_while_others_are_reached(reach):
    reach.note_failure('10.0.0.1:80', NOW)
    reach.note_connected(NOW)
    reach.note_failure('10.0.0.2:80', NOW)
    assert_that(reach.needs_probe(NOW), Is(False))


def test_responses_on_open_connections_prove_no_new_one(reach):
    reach.note_failure('10.0.0.1:80', NOW)
    reach.note_response(NOW)
    reach.note_failure('10.0.0.2:80', NOW)
    assert_that(reach.needs_probe(NOW), Is(True))


def test_requests_that_hang_while_others_are_answered_are_slow_runs(reach):
    reach.note_sent(1, NOW)
    reach.note_sent(2, NOW)
    reach.note_response(NOW + 0.1)
    assert_that(reach.needs_probe(NOW + 2 * SILENCE_S), Is(False))


def test_requests_that_all_hang_are_a_reason_to_probe(reach):
    reach.note_sent(1, NOW)
    reach.note_sent(2, NOW)
    assert_that(reach.needs_probe(NOW + 2 * SILENCE_S), Is(True))
    reach.note_ended(1)
    assert_that(reach.needs_probe(NOW + 2 * SILENCE_S), Is(False))


@pytest.mark.parametrize(
    ('connected', 'state'),
    [(0, Reach.LOST), (1, Reach.LOST), (2, Reach.REACHING)],
)
def test_a_single_probe_of_four_ends_no_loss(reach, connected, state):
    reach.note_probes(0, 4, NOW)
    reach.note_probes(connected, 4, NOW)
    assert_that(reach.state, Equals(state))


def test_without_targets_nothing_is_lost(reach):
    assert_that(reach.note_probes(0, 0, NOW), Is(False))
