"""A process that was paused knows too little for a moment."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.pauses import (
    CATCH_UP_S,
    NOTE_INTERVAL_S,
    PAUSE_S,
    PauseDetector,
)


@pytest.fixture
def detector():
    pauses = PauseDetector()
    pauses.note(100)
    return pauses


# A start is no pause, though nothing was seen before.
def test_the_first_note_is_no_pause():
    assert_that(PauseDetector().note(100), Is(False))


def test_a_running_process_is_not_behind(detector):
    for step in range(1, 50):
        now = 100 + step * NOTE_INTERVAL_S
        assert_that(detector.note(now), Is(False))
        assert_that(detector.time_behind(now), Equals(0))


# A second note in the same moment must not end the time to catch up.
def test_a_process_that_was_paused_is_behind_for_a_moment(detector):
    now = 100 + PAUSE_S + 3
    assert_that(detector.note(now), Is(True))
    assert_that(detector.note(now), Is(False))
    assert_that(detector.time_behind(now), Equals(CATCH_UP_S))
    assert_that(detector.time_behind(now + 0.25), Equals(CATCH_UP_S - 0.25))
    assert_that(detector.time_behind(now + CATCH_UP_S), Equals(0))
