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
from tests.core.requests.queue_simulation import (
    answer_kinds,
    check_answers_match_runs,
    disconnect_caller,
    settings,
)

MONTH_S = 30 * 24 * 3600


def test_no_more_runs_than_slots(new_simulation):
    simulation = new_simulation(slots=3)
    for _ in range(10):
        simulation.arrive('trujillo')
    assert_that(simulation.runs, HasLength(3))
    simulation.advance(1)
    assert_that(simulation.run_log, HasLength(10))
    check_answers_match_runs(simulation)


def test_lent_slot_is_taken_back_at_once(new_simulation):
    simulation = new_simulation(slots=1)
    borrowed = simulation.arrive('trujillo', length=1)
    paid = simulation.arrive('clinic')
    assert_that(simulation.sent_at[paid], Equals([0]))
    simulation.advance(5)
    assert_that(simulation.run_log, Equals([borrowed, paid, borrowed]))
    check_answers_match_runs(simulation)


def test_lent_run_that_ends_soon_is_not_stopped(new_simulation):
    simulation = new_simulation(slots=1)
    for _ in range(16):
        simulation.arrive('trujillo')
        simulation.advance(1)
    borrowed = simulation.arrive('trujillo')
    simulation.advance(0.006)
    paid = simulation.arrive('clinic')
    simulation.advance(1)
    assert_that(simulation.run_log[-2:], Equals([borrowed, paid]))


def test_lent_run_that_turns_out_a_straggler_is_stopped(new_simulation):
    simulation = new_simulation(slots=1)
    for _ in range(16):
        simulation.arrive('trujillo')
        simulation.advance(1)
    borrowed = simulation.arrive('trujillo', length=1)
    simulation.advance(0.006)
    paid = simulation.arrive('clinic')
    simulation.advance(0.1)
    assert_that(simulation.run_log[-3:], Equals([borrowed, paid, borrowed]))
    simulation.advance(2)
    check_answers_match_runs(simulation)


def test_lent_run_that_is_not_repeatable_goes_on(new_simulation):
    simulation = new_simulation(slots=1)
    borrowed = simulation.arrive('trujillo', length=1, repeatable=False)
    paid = simulation.arrive('clinic')
    simulation.advance(5)
    assert_that(simulation.run_log, Equals([borrowed, paid]))


def test_preempted_request_is_never_told_that_it_did_not_run(new_simulation):
    simulation = new_simulation(slots=1)
    borrowed = simulation.arrive('trujillo', length=1, within=0.5)
    simulation.arrive('clinic', length=1, repeatable=False)
    simulation.advance(5)
    assert_that(
        answer_kinds(simulation, borrowed),
        Equals([ErrorKind.DEADLINE_AFTER_START]),
    )
    check_answers_match_runs(simulation)


def test_customers_of_a_class_take_turns(new_simulation):
    simulation = new_simulation(slots=1)
    for _ in range(10):
        simulation.arrive('trujillo')
    other = simulation.arrive('arequipa')
    simulation.advance(0.035)
    assert_that(simulation.run_log, Contains(other))


def test_customer_past_its_share_falls_to_the_common_class(new_simulation):
    simulation = new_simulation(slots=1, shares={'clinic': 0.2, 'flood': 0.2})
    for _ in range(200):
        if len(simulation.answers) < 190:
            simulation.arrive('flood', length=0.5, within=30)
            simulation.arrive('trujillo', length=0.5, within=30)
            simulation.advance(0.5)
    runs = [simulation.requests[each].customer for each in simulation.run_log]
    # After its burst, the flood is served like any common customer.
    late = runs[-40:]
    assert_that(late.count('trujillo'), GreaterThan(15))


def test_customer_that_is_ahead_of_its_share_lets_others_go_first(
    new_simulation,
):
    """Otherwise a flood within its burst would delay the steady customer."""
    simulation = new_simulation(slots=1, shares={'clinic': 0.4, 'flood': 0.4})
    flood = [
        simulation.arrive('flood', length=0.5, within=30) for _ in range(7)
    ]
    simulation.advance(2.1)
    steady = [
        simulation.arrive('clinic', length=0.5, within=30) for _ in range(3)
    ]
    simulation.advance(8)
    expected = [*flood[:5], *steady, *flood[5:]]
    assert_that(simulation.run_log, Equals(expected))


def test_customer_that_is_ahead_of_its_share_still_gets_it(new_simulation):
    simulation = new_simulation(slots=1, shares={'clinic': 0.4, 'flood': 0.4})
    for _ in range(100):
        simulation.arrive('clinic', length=0.2, within=30)
        for customer in ('flood', 'trujillo'):
            simulation.arrive(customer, length=0.5, within=30)
        simulation.advance(0.5)
    customers = [
        simulation.requests[each].customer for each in simulation.run_log
    ]
    # 0.4 of 50 s, half a second each.
    assert_that(customers.count('flood'), GreaterThan(39))
    assert_that(customers.count('clinic'), GreaterThan(97))


def test_deferrable_work_waits_for_idle_slots(new_simulation):
    simulation = new_simulation(slots=1)
    first = simulation.arrive('trujillo')
    deferred = simulation.arrive('reports', within=30)
    later = [simulation.arrive('trujillo') for _ in range(3)]
    simulation.advance(1)
    assert_that(simulation.run_log, Equals([first, *later, deferred]))


def test_deferrable_work_is_told_when_it_cannot_be_done(new_simulation):
    simulation = new_simulation(slots=1)
    simulation.arrive('trujillo', length=20, within=30, repeatable=False)
    deferred = simulation.arrive('reports', within=10)
    simulation.advance(40)
    expected = [ErrorKind.DEADLINE_BEFORE_START]
    assert_that(answer_kinds(simulation, deferred), Equals(expected))


def test_full_queue_refuses_the_fresh_request(new_simulation):
    simulation = new_simulation(slots=1, queue_limit=4)
    for _ in range(5):
        simulation.arrive('trujillo')
    fresh = simulation.arrive('trujillo')
    assert_that(answer_kinds(simulation, fresh), Equals([ErrorKind.OVERLOADED]))
    simulation.advance(5)
    check_answers_match_runs(simulation)


def test_paid_request_finds_room_in_a_full_queue(new_simulation):
    simulation = new_simulation(slots=1, queue_limit=4)
    first = simulation.arrive('trujillo', repeatable=False)
    last = [simulation.arrive('trujillo') for _ in range(4)][-1]
    paid = simulation.arrive('clinic')
    assert_that(answer_kinds(simulation, last), Equals([ErrorKind.OVERLOADED]))
    simulation.advance(0.015)
    assert_that(simulation.run_log, Equals([first, paid]))


def test_request_that_cannot_be_answered_in_time_is_refused_early(
    new_simulation,
):
    simulation = new_simulation(slots=1)
    for _ in range(16):
        simulation.arrive('trujillo', length=0.1)
        simulation.advance(0.2)
    hopeless = simulation.arrive('trujillo', within=0.05)
    assert_that(
        answer_kinds(simulation, hopeless),
        Equals([ErrorKind.DEADLINE_TOO_SHORT]),
    )
    check_answers_match_runs(simulation)


def test_estimate_that_was_too_high_is_corrected(new_simulation):
    simulation = new_simulation(slots=1)
    for _ in range(16):
        simulation.arrive('trujillo', length=0.1)
        simulation.advance(0.2)
    for _ in range(2000):
        last = simulation.arrive('trujillo', length=0.001, within=0.05)
        simulation.advance(0.1)
    assert_that(answer_kinds(simulation, last), Equals(['answer']))


def test_deadline_in_the_queue_is_told_in_time(new_simulation):
    simulation = new_simulation(slots=1)
    simulation.arrive('trujillo', length=10, within=20, repeatable=False)
    waiting = simulation.arrive('arequipa', within=1)
    simulation.advance(0.99)
    assert_that(simulation.answers[waiting], HasLength(0))
    simulation.advance(0.01)
    expected = [ErrorKind.DEADLINE_BEFORE_START]
    assert_that(answer_kinds(simulation, waiting), Equals(expected))


def test_straggler_is_cancelled_at_its_deadline(new_simulation):
    simulation = new_simulation(slots=1)
    straggler = simulation.arrive('trujillo', length=10, within=1)
    next_one = simulation.arrive('trujillo', within=3)
    simulation.advance(2)
    expected = [ErrorKind.DEADLINE_AFTER_START]
    assert_that(answer_kinds(simulation, straggler), Equals(expected))
    assert_that(simulation.sent_at[next_one], Equals([1]))
    check_answers_match_runs(simulation)


def test_long_operations_leave_the_last_slot(new_simulation):
    simulation = new_simulation(slots=3)
    for _ in range(16):
        simulation.arrive('trujillo', operation='GET bench')
        simulation.arrive('trujillo', operation='GET report', length=1)
        simulation.advance(2)
    for _ in range(5):
        simulation.arrive(
            'trujillo', operation='GET report', length=1, within=9
        )
    short = simulation.arrive('trujillo', operation='GET bench')
    assert_that(simulation.sent_at[short], Equals([simulation.now]))
    simulation.advance(5)
    check_answers_match_runs(simulation)


def test_cold_target_is_ramped_up(new_simulation):
    simulation = new_simulation(slots=3, is_cold=True)
    for _ in range(64):
        simulation.arrive('trujillo')
    assert_that(simulation.runs, HasLength(1))
    simulation.advance(0.3)
    assert_that(simulation.runs, HasLength(3))


def test_shedding_target_gets_less_at_once(new_simulation):
    simulation = new_simulation(slots=3)
    shed = simulation.arrive('trujillo', outcome=requests.Outcome.SHED)
    for _ in range(10):
        simulation.arrive('trujillo')
    simulation.advance(0.015)
    assert_that(simulation.runs, HasLength(0))
    simulation.advance(0.02)
    assert_that(simulation.runs, HasLength(1))
    assert_that(answer_kinds(simulation, shed), Equals([ErrorKind.TARGET_SHED]))
    simulation.advance(5)
    check_answers_match_runs(simulation)


def test_leaving_target_gets_nothing_new(new_simulation):
    simulation = new_simulation(slots=1)
    running = simulation.arrive('trujillo')
    waiting = simulation.arrive('trujillo')
    simulation.feed(requests.Drain(ErrorKind.NOT_OWNER, serve_waiting=False))
    late = simulation.arrive('trujillo')
    simulation.advance(1)
    assert_that(simulation.run_log, Equals([running]))
    assert_that(
        answer_kinds(simulation, waiting), Equals([ErrorKind.NOT_OWNER])
    )
    assert_that(answer_kinds(simulation, late), Equals([ErrorKind.NOT_OWNER]))
    assert_that(simulation.queue.is_idle, Is(True))


def test_preempted_request_is_not_sent_to_a_leaving_target(new_simulation):
    simulation = new_simulation(slots=1, cancel_time=0.1)
    borrowed = simulation.arrive('trujillo', length=1)
    simulation.arrive('clinic')
    simulation.is_closed = True
    simulation.feed(requests.Drain(ErrorKind.NOT_OWNER, serve_waiting=False))
    simulation.advance(2)
    assert_that(
        answer_kinds(simulation, borrowed), Equals([ErrorKind.TARGET_BROKE_OFF])
    )
    check_answers_match_runs(simulation)


def test_leaving_daemon_cuts_off_no_request(new_simulation):
    simulation = new_simulation(slots=1)
    held = [simulation.arrive('trujillo') for _ in range(5)]
    simulation.feed(requests.Drain(ErrorKind.SHUTTING_DOWN, serve_waiting=True))
    late = simulation.arrive('trujillo')
    simulation.advance(1)
    assert_that(simulation.run_log, Equals(held))
    assert_that(
        answer_kinds(simulation, late), Equals([ErrorKind.SHUTTING_DOWN])
    )
    check_answers_match_runs(simulation)


def test_caller_that_left_frees_its_place(new_simulation):
    simulation = new_simulation(slots=1)
    running = simulation.arrive('trujillo', length=1)
    waiting = simulation.arrive('trujillo')
    last = simulation.arrive('trujillo')
    disconnect_caller(simulation, waiting)
    disconnect_caller(simulation, running)
    assert_that(simulation.sent_at[last], Equals([0]))
    simulation.advance(1)
    check_answers_match_runs(simulation)


def test_order_of_a_caller_that_left_goes_on(new_simulation):
    simulation = new_simulation(slots=1)
    order = simulation.arrive('trujillo', length=1, repeatable=False)
    disconnect_caller(simulation, order)
    simulation.advance(2)
    assert_that(answer_kinds(simulation, order), Equals(['answer']))


def test_new_settings_keep_what_waits_and_runs(new_simulation):
    simulation = new_simulation(slots=1)
    first = simulation.arrive('trujillo', repeatable=False)
    paid = simulation.arrive('clinic')
    held = [first, *(simulation.arrive('trujillo') for _ in range(5))]
    other = settings(slots=1, shares={'trujillo': 0.5})
    simulation.feed(requests.SettingsChanged(other))
    simulation.advance(1)
    assert_that(sorted(set(simulation.run_log)), Equals(sorted([*held, paid])))
    assert_that(simulation.run_log[-1], Equals(paid))
    check_answers_match_runs(simulation)


@pytest.mark.cell(step='drain', fault='target-freeze')
def test_frozen_target_does_not_hold_up_a_leaving_daemon(new_simulation):
    simulation = new_simulation(slots=2)
    frozen = [simulation.arrive('trujillo', length=100) for _ in range(2)]
    waiting = [simulation.arrive('arequipa') for _ in range(3)]
    simulation.feed(requests.Drain(ErrorKind.SHUTTING_DOWN, serve_waiting=True))
    simulation.advance(2.5)
    check_answers_match_runs(simulation)
    assert_that(simulation.queue.is_idle, Is(True))
    for request_id in (*frozen, *waiting):
        assert_that(simulation.answers[request_id], HasLength(1))


def is_served_first_after_idle_month(simulation):
    """Serve others for a month; return whether the paid request is next."""
    for _ in range(20):
        simulation.arrive('trujillo', length=1, repeatable=False, within=1000)
    simulation.advance(MONTH_S)
    for number in range(20):
        # A customer that was never served before has the lowest virtual time.
        customer = f'newcomer-{number}'
        simulation.arrive(customer, length=1, repeatable=False, within=1000)
    paid = simulation.arrive('clinic', within=5)
    simulation.advance(1)
    return simulation.run_log[-1] == paid


def test_priority_is_intact_after_a_month_of_silence(new_simulation):
    assert_that(
        is_served_first_after_idle_month(new_simulation(slots=1)), Is(True)
    )


def test_check_catches_priority_that_decays(new_simulation, monkeypatch):
    def decays(meter, now):
        return meter.theoretical_arrival_at > now - MONTH_S / 2

    monkeypatch.setattr(ShareMeter, 'is_within', decays)
    assert_that(
        is_served_first_after_idle_month(new_simulation(slots=1)), Is(False)
    )


def common_class_fraction(simulation):
    """Overload with paid requests; return the fraction of other runs."""
    for _ in range(1000):
        simulation.arrive('clinic', within=0.1)
        simulation.arrive('trujillo', within=0.5)
        simulation.advance(0.005)
    served = [simulation.requests[each].customer for each in simulation.run_log]
    return served.count('trujillo') / len(served)


def test_least_share_keeps_a_class_from_starving(new_simulation):
    simulation = new_simulation(
        slots=1, shares={'clinic': 1.0}, least_share=0.1
    )
    assert_that(common_class_fraction(simulation), GreaterThan(0.09))
    simulation.advance(5)
    check_answers_match_runs(simulation)


def test_check_catches_a_class_that_starves(new_simulation, monkeypatch):
    monkeypatch.setattr(
        PriorityLevel, 'is_below_least_share', lambda line, now: False
    )
    simulation = new_simulation(
        slots=1, shares={'clinic': 1.0}, least_share=0.1
    )
    assert_that(common_class_fraction(simulation), LessThan(0.09))


def test_target_that_leaves_stays_closed_when_the_daemon_leaves(new_simulation):
    simulation = new_simulation(slots=1, cancel_time=0.1)
    borrowed = simulation.arrive('trujillo', length=1)
    simulation.arrive('clinic')
    simulation.is_closed = True
    simulation.feed(requests.Drain(ErrorKind.NOT_OWNER, serve_waiting=False))
    simulation.feed(requests.Drain(ErrorKind.SHUTTING_DOWN, serve_waiting=True))
    simulation.advance(2)
    assert_that(
        answer_kinds(simulation, borrowed), Equals([ErrorKind.TARGET_BROKE_OFF])
    )


def test_share_in_the_common_class_goes_before_those_without(new_simulation):
    simulation = new_simulation(slots=1, paid_class='common')
    for _ in range(20):
        simulation.arrive('clinic', length=0.1)
        simulation.advance(0.2)
    simulation.arrive('trujillo', repeatable=False)
    other = simulation.arrive('arequipa')
    paid = simulation.arrive('clinic')
    simulation.advance(1)
    assert_that(simulation.run_log[-2:], Equals([paid, other]))


def test_share_in_a_last_class_stops_nobody_of_the_common_one(new_simulation):
    simulation = new_simulation(slots=1, paid_class='last')
    first = simulation.arrive('trujillo')
    paid = simulation.arrive('clinic')
    common = simulation.arrive('trujillo')
    simulation.advance(1)
    assert_that(simulation.run_log, Equals([first, common, paid]))
