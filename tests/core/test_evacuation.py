"""Evacuated data centres, and their targets when they return."""

from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.evacuation import (
    ENTRY_NEWS_S,
    MIN_RETURN_S,
    WRITTEN_AFTER_S,
    Evacuations,
)
from laburnumyard.core.ids import DataCentre, ServiceName
from laburnumyard.core.routes import ServiceSpec
from laburnumyard.core.target_directory import TargetState
from tests.core.scheduling.conftest import make_record

HERE = DataCentre('lima-a')
ELSEWHERE = DataCentre('lima-b')
ENDED_AT = 100
END_REVISION = 40
WARM_UP_S = 9
SERVICES = {
    ServiceName('catalogue'): ServiceSpec(
        ServiceName('catalogue'), '/healthz', 10, True, WARM_UP_S, 7.1
    )
}


@pytest.fixture
def record():
    return make_record('one')


@pytest.fixture
def returned(record):
    """An evacuation of the record's data centre that has ended."""
    evacuations = Evacuations()
    evacuations.begin(HERE)
    evacuations.end(HERE, END_REVISION, [record], SERVICES, ENDED_AT)
    return evacuations


# Capacity elsewhere must not be lost with the evacuated data centre.
def test_only_targets_of_the_evacuated_data_centre_are_out_of_use(record):
    evacuations = Evacuations()
    assert_that(evacuations.begin(HERE), Is(True))
    assert_that(evacuations.begin(HERE), Is(False))
    other = replace(record, data_centre=ELSEWHERE)
    in_force = evacuations.record_in_force(record)
    assert_that(in_force.state, Is(TargetState.EVACUATED))
    assert_that(in_force.accepts_requests, Is(False))
    assert_that(evacuations.record_in_force(other), Is(other))


# A target that leaves during an evacuation must not look as if it returned.
def test_a_leaving_target_stays_a_leaving_one():
    leaving = make_record('one', state=TargetState.DRAINING)
    evacuations = Evacuations()
    evacuations.begin(HERE)
    in_force = evacuations.record_in_force(leaving)
    assert_that(in_force.state, Is(TargetState.DRAINING))


# Each of two evacuations ends alone.
def test_the_end_of_one_evacuation_leaves_the_other(record):
    evacuations = Evacuations()
    evacuations.begin(HERE)
    evacuations.begin(ELSEWHERE)
    assert_that(
        evacuations.end(ELSEWHERE, END_REVISION, [record], SERVICES, ENDED_AT),
        Is(True),
    )
    in_force = evacuations.record_in_force(record)
    assert_that(in_force.state, Is(TargetState.EVACUATED))
    assert_that(evacuations.returned, Equals({}))


# The entry from before the evacuation says that the target is warm.
def test_a_returned_target_counts_as_cold_without_a_later_entry(
    record, returned
):
    in_force = returned.record_in_force(record)
    assert_that(in_force.state, Is(TargetState.READY))
    assert_that(in_force.cold_until, Equals(ENDED_AT + WARM_UP_S))


def test_a_service_without_a_warm_up_time_waits_for_an_entry(record):
    evacuations = Evacuations()
    evacuations.begin(HERE)
    evacuations.end(HERE, END_REVISION, [record], {}, ENDED_AT)
    in_force = evacuations.record_in_force(record)
    assert_that(in_force.cold_until, Equals(ENDED_AT + MIN_RETURN_S))


# An entry on its way when the gateway learned of the end may be from before.
@pytest.mark.parametrize(
    ('revision', 'after', 'is_warm'),
    [
        (END_REVISION - 1, WRITTEN_AFTER_S, False),
        (END_REVISION + 1, WRITTEN_AFTER_S - 0.1, False),
        (END_REVISION + 1, WRITTEN_AFTER_S, True),
        (END_REVISION + 1, ENTRY_NEWS_S, True),
    ],
)
def test_only_an_entry_from_after_the_end_makes_a_target_warm(
    record, returned, revision, after, is_warm
):
    now = ENDED_AT + after
    assert_that(returned.note_entry(record, revision, now), Is(is_warm))
    in_force = returned.record_in_force(record)
    assert_that(in_force.is_cold(now), Is(not is_warm))


# The entry says how long the target stays cold; the configuration says less.
def test_a_later_entry_may_keep_a_target_cold_for_longer(record, returned):
    now = ENDED_AT + WRITTEN_AFTER_S
    cold = replace(record, cold_until=now + 2 * WARM_UP_S)
    returned.note_entry(cold, END_REVISION + 1, now)
    in_force = returned.record_in_force(cold)
    assert_that(in_force.cold_until, Equals(now + 2 * WARM_UP_S))


# Followers learn of the end later and need an entry from after that, although
# nothing in it has changed.
def test_entries_are_news_for_followers_for_a_while(record, returned):
    returned.note_entry(record, END_REVISION + 1, ENDED_AT + WRITTEN_AFTER_S)
    assert_that(returned.awaits_entry(record.life), Is(True))
    returned.note_entry(record, END_REVISION + 9, ENDED_AT + ENTRY_NEWS_S)
    assert_that(returned.awaits_entry(record.life), Is(False))


# The key may be written again at any moment.
def test_an_evacuation_may_begin_again_at_once(record, returned):
    assert_that(returned.begin(HERE), Is(True))
    in_force = returned.record_in_force(record)
    assert_that(in_force.state, Is(TargetState.EVACUATED))


# Targets that never came back must not be remembered for ever.
def test_returns_are_forgotten_with_the_next_end(record, returned):
    returned.begin(ELSEWHERE)
    returned.end(ELSEWHERE, 60, [], SERVICES, ENDED_AT + WARM_UP_S)
    assert_that(returned.returned, Equals({}))
