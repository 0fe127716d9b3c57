"""Whether a target may get a request now, and the one reason if not."""

import math
from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.admission import (
    UNCHECKED_GRANT,
    AdmissionReason,
    Grant,
    recheck_grant,
)
from laburnumyard.core.rate_limits import (
    COLD_GRANT_LIFE_S,
    LimitKind,
    LimitStatement,
)
from laburnumyard.core.scheduling import Outcome, TargetSlots
from laburnumyard.core.target_directory import TargetState
from tests.core.scheduling.conftest import make_record

NOW = 50.0
LIFE_S = 2.0
COLD_UNTIL = NOW + 5


@pytest.fixture
def slots():
    return TargetSlots(make_record('one'))


def turn_cold(slots, per_second=7.1):
    slots.limiter.warm_up_per_s = per_second
    slots.record = replace(slots.record, cold_until=COLD_UNTIL)


def test_a_ready_target_with_a_free_slot_is_admitted(slots):
    assert_that(slots.admission(NOW), Is(AdmissionReason.ADMITTED))
    assert_that(slots.has_room(NOW), Is(True))


@pytest.mark.parametrize(
    ('state', 'reason'),
    [
        (TargetState.DRAINING, AdmissionReason.LEAVING),
        (TargetState.EVACUATED, AdmissionReason.EVACUATED),
    ],
)
def test_the_state_comes_before_all_else(slots, state, reason):
    slots.record = replace(slots.record, state=state)
    slots.running = slots.record.slots
    slots.paused_until = NOW + 1
    assert_that(slots.admission(NOW), Is(reason))
    assert_that(slots.has_free_slot(NOW), Is(False))


def test_a_paused_target_is_not_asked_for_its_slots(slots):
    slots.paused_until = NOW + 1
    slots.running = slots.record.slots
    assert_that(slots.admission(NOW), Is(AdmissionReason.PAUSED))


def test_a_full_target_has_no_free_slot(slots):
    slots.running = slots.record.slots
    assert_that(slots.admission(NOW), Is(AdmissionReason.NO_FREE_SLOT))


def test_a_lost_target_is_probed_with_one_request_at_a_time(slots):
    slots.losses = 1
    assert_that(slots.admission(NOW), Is(AdmissionReason.ADMITTED))
    slots.running = 1
    assert_that(slots.admission(NOW), Is(AdmissionReason.LOST))


def test_a_limited_target_has_a_free_slot_and_no_room(slots):
    stated = LimitStatement(LimitKind.STATED, 1)
    slots.limiter.record(slots.record.life, stated, NOW)
    assert_that(slots.admission(NOW), Is(AdmissionReason.RATE_LIMIT))
    assert_that(slots.has_free_slot(NOW), Is(True))
    assert_that(slots.has_room(NOW), Is(False))


# A cold target crashes well above its rate.
def test_a_cold_target_waits_for_its_rate(slots):
    turn_cold(slots)
    assert_that(slots.admission(NOW), Is(AdmissionReason.COLD))
    assert_that(slots.has_free_slot(NOW), Is(True))
    later = NOW + 1 / 7.1
    assert_that(slots.admission(later), Is(AdmissionReason.ADMITTED))
    assert_that(slots.admission(COLD_UNTIL), Is(AdmissionReason.ADMITTED))


def test_without_a_configured_rate_a_cold_target_has_no_limit(slots):
    turn_cold(slots, per_second=0)
    assert_that(slots.admission(NOW), Is(AdmissionReason.ADMITTED))


# A target that states 2 requests a second while it is cold gets 2.
def test_the_lower_of_both_rates_counts(slots):
    turn_cold(slots)
    stated = LimitStatement(LimitKind.STATED, 2)
    slots.limiter.record(slots.record.life, stated, NOW)
    assert_that(slots.rate(NOW).per_second, Equals(2))
    stated = LimitStatement(LimitKind.STATED, 90)
    slots.limiter.record(slots.record.life, stated, NOW)
    assert_that(slots.rate(NOW).per_second, Equals(7.1))


# A sender's word about a target that the coordinator has not read of yet must
# keep other requests from it.
@pytest.mark.parametrize(
    ('outcome', 'reason'),
    [
        (Outcome.LEAVING, AdmissionReason.PAUSED),
        (Outcome.COLD, AdmissionReason.PAUSED),
        (Outcome.LAPSED, AdmissionReason.ADMITTED),
    ],
)
def test_a_request_that_was_not_sent_is_no_failure(slots, outcome, reason):
    slots.note(outcome, NOW, is_count_complete=True)
    assert_that(slots.admission(NOW), Is(reason))
    assert_that((slots.failure_rate, slots.losses), Equals((0, 0)))


@pytest.mark.parametrize(
    ('grant', 'changes', 'reason'),
    [
        (Grant(NOW, False), {}, AdmissionReason.ADMITTED),
        # A paused gateway may not know of an evacuation.
        (Grant(NOW - LIFE_S - 0.1, True), {}, AdmissionReason.LAPSED),
        (
            Grant(NOW, True),
            {'state': TargetState.EVACUATED},
            AdmissionReason.EVACUATED,
        ),
        (
            Grant(NOW, True),
            {'state': TargetState.DRAINING},
            AdmissionReason.LEAVING,
        ),
        # The coordinator did not know that the target is cold.
        (
            Grant(NOW, False),
            {'cold_until': COLD_UNTIL},
            AdmissionReason.COLD,
        ),
        (
            Grant(NOW - COLD_GRANT_LIFE_S / 2, True),
            {'cold_until': COLD_UNTIL},
            AdmissionReason.ADMITTED,
        ),
        # Later requests may have used the rate of the second of the send.
        (
            Grant(NOW - COLD_GRANT_LIFE_S - 0.1, True),
            {'cold_until': COLD_UNTIL},
            AdmissionReason.LAPSED,
        ),
        (UNCHECKED_GRANT, {'cold_until': COLD_UNTIL}, AdmissionReason.ADMITTED),
    ],
)
def test_a_grant_is_checked_again_before_the_send(grant, changes, reason):
    record = replace(make_record('one'), **changes)
    found = recheck_grant(grant, record, LIFE_S, NOW, has_cold_rate=True)
    assert_that(found, Is(reason))


# A service without a rate for cold targets is served as before.
def test_without_a_rate_a_cold_target_gets_what_was_granted():
    record = replace(make_record('one'), cold_until=COLD_UNTIL)
    found = recheck_grant(
        Grant(NOW, is_for_cold=False), record, LIFE_S, NOW, has_cold_rate=False
    )
    assert_that(found, Is(AdmissionReason.ADMITTED))


def test_without_a_bound_on_evacuations_grants_last(slots):
    old = Grant(-math.inf, is_for_cold=False)
    reason = recheck_grant(old, slots.record, None, NOW, has_cold_rate=True)
    assert_that(reason, Is(AdmissionReason.ADMITTED))
