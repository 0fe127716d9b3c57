import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    Is,
    LessThan,
)

from laburnumyard.core import requests
from laburnumyard.core.errors import ErrorKind
from laburnumyard.core.requests._flows import PriorityLevel
from laburnumyard.core.requests._share_meter import ShareMeter
from tests.core.requests.queue_simulation import check, kinds, leave, settings

MONTH_S = 30 * 24 * 3600


def test_no_more_runs_than_slots(new_world):
    world = new_world(slots=3)
    for _ in range(10):
        world.arrive('trujillo')
    assert_that(world.runs, HasLength(3))
    world.advance(1)
    assert_that(world.run_log, HasLength(10))
    check(world)


def test_lent_slot_is_taken_back_at_once(new_world):
    world = new_world(slots=1)
    lent = world.arrive('trujillo', length=1)
    paid = world.arrive('clinic')
    assert_that(world.sent_at[paid], Equals([0]))
    world.advance(5)
    assert_that(world.run_log, Equals([lent, paid, lent]))
    check(world)


def test_lent_run_that_ends_soon_is_not_stopped(new_world):
    world = new_world(slots=1)
    for _ in range(16):
        world.arrive('trujillo')
        world.advance(1)
    lent = world.arrive('trujillo')
    world.advance(0.006)
    paid = world.arrive('clinic')
    world.advance(1)
    assert_that(world.run_log[-2:], Equals([lent, paid]))


def test_lent_run_that_turns_out_a_straggler_is_stopped(new_world):
    world = new_world(slots=1)
    for _ in range(16):
        world.arrive('trujillo')
        world.advance(1)
    lent = world.arrive('trujillo', length=1)
    world.advance(0.006)
    paid = world.arrive('clinic')
    world.advance(0.1)
    assert_that(world.run_log[-3:], Equals([lent, paid, lent]))
    world.advance(2)
    check(world)


def test_lent_run_that_is_not_repeatable_goes_on(new_world):
    world = new_world(slots=1)
    lent = world.arrive('trujillo', length=1, repeatable=False)
    paid = world.arrive('clinic')
    world.advance(5)
    assert_that(world.run_log, Equals([lent, paid]))


def test_preempted_request_is_never_told_that_it_did_not_run(new_world):
    world = new_world(slots=1)
    lent = world.arrive('trujillo', length=1, within=0.5)
    world.arrive('clinic', length=1, repeatable=False)
    world.advance(5)
    assert_that(kinds(world, lent), Equals([ErrorKind.DEADLINE_AFTER_START]))
    check(world)


def test_customers_of_a_class_take_turns(new_world):
    world = new_world(slots=1)
    for _ in range(10):
        world.arrive('trujillo')
    other = world.arrive('arequipa')
    world.advance(0.035)
    assert_that(world.run_log, Contains(other))


def test_customer_past_its_share_falls_to_the_common_class(new_world):
    world = new_world(slots=1, shares={'clinic': 0.2, 'flood': 0.2})
    for _ in range(200):
        if len(world.answers) < 190:
            world.arrive('flood', length=0.5, within=30)
            world.arrive('trujillo', length=0.5, within=30)
            world.advance(0.5)
    runs = [world.requests[each].customer for each in world.run_log]
    # After its burst, the flood gets no more than any common customer.
    late = runs[-40:]
    assert_that(late.count('trujillo'), GreaterThan(15))


def test_customer_that_is_ahead_of_its_share_lets_others_go_first(new_world):
    """Taking turns, a flood within its advance would delay the steady one."""
    world = new_world(slots=1, shares={'clinic': 0.4, 'flood': 0.4})
    flood = [world.arrive('flood', length=0.5, within=30) for _ in range(7)]
    world.advance(2.1)
    steady = [world.arrive('clinic', length=0.5, within=30) for _ in range(3)]
    world.advance(8)
    expected = [*flood[:5], *steady, *flood[5:]]
    assert_that(world.run_log, Equals(expected))


def test_customer_that_is_ahead_of_its_share_still_gets_it(new_world):
    world = new_world(slots=1, shares={'clinic': 0.4, 'flood': 0.4})
    for _ in range(100):
        world.arrive('clinic', length=0.2, within=30)
        for customer in ('flood', 'trujillo'):
            world.arrive(customer, length=0.5, within=30)
        world.advance(0.5)
    customers = [world.requests[each].customer for each in world.run_log]
    # 0.4 of 50 s, half a second each.
    assert_that(customers.count('flood'), GreaterThan(39))
    assert_that(customers.count('clinic'), GreaterThan(97))


def test_deferrable_work_waits_for_idle_slots(new_world):
    world = new_world(slots=1)
    first = world.arrive('trujillo')
    deferred = world.arrive('reports', within=30)
    later = [world.arrive('trujillo') for _ in range(3)]
    world.advance(1)
    assert_that(world.run_log, Equals([first, *later, deferred]))


def test_deferrable_work_is_told_when_it_cannot_be_done(new_world):
    world = new_world(slots=1)
    world.arrive('trujillo', length=20, within=30, repeatable=False)
    deferred = world.arrive('reports', within=10)
    world.advance(40)
    expected = [ErrorKind.DEADLINE_BEFORE_START]
    assert_that(kinds(world, deferred), Equals(expected))


def test_full_queue_refuses_the_fresh_request(new_world):
    world = new_world(slots=1, queue_limit=4)
    for _ in range(5):
        world.arrive('trujillo')
    fresh = world.arrive('trujillo')
    assert_that(kinds(world, fresh), Equals([ErrorKind.OVERLOADED]))
    world.advance(5)
    check(world)


def test_paid_request_finds_room_in_a_full_queue(new_world):
    world = new_world(slots=1, queue_limit=4)
    first = world.arrive('trujillo', repeatable=False)
    last = [world.arrive('trujillo') for _ in range(4)][-1]
    paid = world.arrive('clinic')
    assert_that(kinds(world, last), Equals([ErrorKind.OVERLOADED]))
    world.advance(0.015)
    assert_that(world.run_log, Equals([first, paid]))


def test_request_that_cannot_be_answered_in_time_is_refused_early(new_world):
    world = new_world(slots=1)
    for _ in range(16):
        world.arrive('trujillo', length=0.1)
        world.advance(0.2)
    hopeless = world.arrive('trujillo', within=0.05)
    assert_that(kinds(world, hopeless), Equals([ErrorKind.DEADLINE_TOO_SHORT]))
    check(world)


def test_estimate_that_was_too_high_is_corrected(new_world):
    world = new_world(slots=1)
    for _ in range(16):
        world.arrive('trujillo', length=0.1)
        world.advance(0.2)
    for _ in range(2000):
        last = world.arrive('trujillo', length=0.001, within=0.05)
        world.advance(0.1)
    assert_that(kinds(world, last), Equals(['answer']))


def test_deadline_in_the_queue_is_told_in_time(new_world):
    world = new_world(slots=1)
    world.arrive('trujillo', length=10, within=20, repeatable=False)
    waiting = world.arrive('arequipa', within=1)
    world.advance(0.99)
    assert_that(world.answers[waiting], HasLength(0))
    world.advance(0.01)
    expected = [ErrorKind.DEADLINE_BEFORE_START]
    assert_that(kinds(world, waiting), Equals(expected))


def test_straggler_is_cancelled_at_its_deadline(new_world):
    world = new_world(slots=1)
    straggler = world.arrive('trujillo', length=10, within=1)
    next_one = world.arrive('trujillo', within=3)
    world.advance(2)
    expected = [ErrorKind.DEADLINE_AFTER_START]
    assert_that(kinds(world, straggler), Equals(expected))
    assert_that(world.sent_at[next_one], Equals([1]))
    check(world)


def test_long_operations_leave_the_last_slot(new_world):
    world = new_world(slots=3)
    for _ in range(16):
        world.arrive('trujillo', operation='GET bench')
        world.arrive('trujillo', operation='GET report', length=1)
        world.advance(2)
    for _ in range(5):
        world.arrive('trujillo', operation='GET report', length=1, within=9)
    short = world.arrive('trujillo', operation='GET bench')
    assert_that(world.sent_at[short], Equals([world.now]))
    world.advance(5)
    check(world)


def test_cold_target_is_ramped_up(new_world):
    world = new_world(slots=3, is_cold=True)
    for _ in range(64):
        world.arrive('trujillo')
    assert_that(world.runs, HasLength(1))
    world.advance(0.3)
    assert_that(world.runs, HasLength(3))


def test_shedding_target_gets_less_at_once(new_world):
    world = new_world(slots=3)
    shed = world.arrive('trujillo', outcome=requests.Outcome.SHED)
    for _ in range(10):
        world.arrive('trujillo')
    world.advance(0.015)
    assert_that(world.runs, HasLength(0))
    world.advance(0.02)
    assert_that(world.runs, HasLength(1))
    assert_that(kinds(world, shed), Equals([ErrorKind.TARGET_SHED]))
    world.advance(5)
    check(world)


def test_leaving_target_gets_nothing_new(new_world):
    world = new_world(slots=1)
    running = world.arrive('trujillo')
    waiting = world.arrive('trujillo')
    world.feed(requests.Drain(ErrorKind.NOT_OWNER, serve_waiting=False))
    late = world.arrive('trujillo')
    world.advance(1)
    assert_that(world.run_log, Equals([running]))
    assert_that(kinds(world, waiting), Equals([ErrorKind.NOT_OWNER]))
    assert_that(kinds(world, late), Equals([ErrorKind.NOT_OWNER]))
    assert_that(world.queue.is_idle, Is(True))


def test_preempted_request_is_not_sent_to_a_leaving_target(new_world):
    world = new_world(slots=1, cancel_time=0.1)
    lent = world.arrive('trujillo', length=1)
    world.arrive('clinic')
    world.is_closed = True
    world.feed(requests.Drain(ErrorKind.NOT_OWNER, serve_waiting=False))
    world.advance(2)
    assert_that(kinds(world, lent), Equals([ErrorKind.TARGET_BROKE_OFF]))
    check(world)


def test_leaving_daemon_cuts_off_no_request(new_world):
    world = new_world(slots=1)
    held = [world.arrive('trujillo') for _ in range(5)]
    world.feed(requests.Drain(ErrorKind.SHUTTING_DOWN, serve_waiting=True))
    late = world.arrive('trujillo')
    world.advance(1)
    assert_that(world.run_log, Equals(held))
    assert_that(kinds(world, late), Equals([ErrorKind.SHUTTING_DOWN]))
    check(world)


def test_caller_that_left_frees_its_place(new_world):
    world = new_world(slots=1)
    running = world.arrive('trujillo', length=1)
    waiting = world.arrive('trujillo')
    last = world.arrive('trujillo')
    leave(world, waiting)
    leave(world, running)
    assert_that(world.sent_at[last], Equals([0]))
    world.advance(1)
    check(world)


def test_order_of_a_caller_that_left_goes_on(new_world):
    world = new_world(slots=1)
    order = world.arrive('trujillo', length=1, repeatable=False)
    leave(world, order)
    world.advance(2)
    assert_that(kinds(world, order), Equals(['answer']))


def test_new_settings_keep_what_waits_and_runs(new_world):
    world = new_world(slots=1)
    first = world.arrive('trujillo', repeatable=False)
    paid = world.arrive('clinic')
    held = [first, *(world.arrive('trujillo') for _ in range(5))]
    other = settings(slots=1, shares={'trujillo': 0.5})
    world.feed(requests.SettingsChanged(other))
    world.advance(1)
    assert_that(sorted(set(world.run_log)), Equals(sorted([*held, paid])))
    assert_that(world.run_log[-1], Equals(paid))
    check(world)


@pytest.mark.cell(step='drain', fault='target-freeze')
def test_frozen_target_does_not_hold_up_a_leaving_daemon(new_world):
    world = new_world(slots=2)
    frozen = [world.arrive('trujillo', length=100) for _ in range(2)]
    waiting = [world.arrive('arequipa') for _ in range(3)]
    world.feed(requests.Drain(ErrorKind.SHUTTING_DOWN, serve_waiting=True))
    world.advance(2.5)
    check(world)
    assert_that(world.queue.is_idle, Is(True))
    for request_id in (*frozen, *waiting):
        assert_that(world.answers[request_id], HasLength(1))


def month_of_silence(world):
    """Serve others for a month; give whether the paid request is next."""
    for _ in range(20):
        world.arrive('trujillo', length=1, repeatable=False, within=1000)
    world.advance(MONTH_S)
    for number in range(20):
        # Nobody was served less than a customer that has never been here.
        customer = f'newcomer-{number}'
        world.arrive(customer, length=1, repeatable=False, within=1000)
    paid = world.arrive('clinic', within=5)
    world.advance(1)
    return world.run_log[-1] == paid


def test_priority_is_intact_after_a_month_of_silence(new_world):
    assert_that(month_of_silence(new_world(slots=1)), Is(True))


def test_check_catches_priority_that_decays(new_world, monkeypatch):
    def decays(meter, now):
        return meter.theoretical_arrival_at > now - MONTH_S / 2

    monkeypatch.setattr(ShareMeter, 'is_within', decays)
    assert_that(month_of_silence(new_world(slots=1)), Is(False))


def part_of_the_common_class(world):
    """Overload with paid work; give the part of the runs of the others."""
    for _ in range(1000):
        world.arrive('clinic', within=0.1)
        world.arrive('trujillo', within=0.5)
        world.advance(0.005)
    served = [world.requests[each].customer for each in world.run_log]
    return served.count('trujillo') / len(served)


def test_least_share_keeps_a_class_from_starving(new_world):
    world = new_world(slots=1, shares={'clinic': 1.0}, least_share=0.1)
    assert_that(part_of_the_common_class(world), GreaterThan(0.09))
    world.advance(5)
    check(world)


def test_check_catches_a_class_that_starves(new_world, monkeypatch):
    monkeypatch.setattr(
        PriorityLevel, 'is_below_least_share', lambda line, now: False
    )
    world = new_world(slots=1, shares={'clinic': 1.0}, least_share=0.1)
    assert_that(part_of_the_common_class(world), LessThan(0.09))


def test_target_that_leaves_stays_closed_when_the_daemon_leaves(new_world):
    world = new_world(slots=1, cancel_time=0.1)
    lent = world.arrive('trujillo', length=1)
    world.arrive('clinic')
    world.is_closed = True
    world.feed(requests.Drain(ErrorKind.NOT_OWNER, serve_waiting=False))
    world.feed(requests.Drain(ErrorKind.SHUTTING_DOWN, serve_waiting=True))
    world.advance(2)
    assert_that(kinds(world, lent), Equals([ErrorKind.TARGET_BROKE_OFF]))


def test_share_in_the_common_class_goes_before_those_without(new_world):
    world = new_world(slots=1, paid_class='common')
    for _ in range(20):
        world.arrive('clinic', length=0.1)
        world.advance(0.2)
    world.arrive('trujillo', repeatable=False)
    other = world.arrive('arequipa')
    paid = world.arrive('clinic')
    world.advance(1)
    assert_that(world.run_log[-2:], Equals([paid, other]))


def test_share_in_a_last_class_stops_nobody_of_the_common_one(new_world):
    world = new_world(slots=1, paid_class='last')
    first = world.arrive('trujillo')
    paid = world.arrive('clinic')
    common = world.arrive('trujillo')
    world.advance(1)
    assert_that(world.run_log, Equals([first, common, paid]))
