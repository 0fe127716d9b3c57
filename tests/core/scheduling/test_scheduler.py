import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from laburnumyard.core.ids import ShardKey, TargetId
from laburnumyard.core.scheduling import (
    BudgetMeter,
    Outcome,
    Refusal,
    Refuse,
    RunReport,
    Scheduler,
    SchedulerSettings,
    Send,
)
from laburnumyard.core.scheduling._target_slots import LEAVING_PAUSE_S
from laburnumyard.core.target_directory import TargetState
from tests.core.scheduling.conftest import BUDGET, make_record, make_work
from tests.support.sole import only


def submit(service, work, now=0, is_returned=False):
    return service.submit(work, now, is_returned=is_returned)


def running(service):
    return {name: slots.running for name, slots in service.targets.items()}


def test_no_target_gets_more_requests_than_it_has_slots(scheduler):
    works = [make_work() for _ in range(6)]
    sent = [each for work in works for each in submit(scheduler, work)]
    assert_that(len(sent), Equals(4))
    assert_that(running(scheduler), Equals({'one': 2, 'two': 2}))


def test_a_finished_request_makes_room_for_the_next(single_slot_scheduler):
    first, second = make_work(), make_work()
    submit(single_slot_scheduler, first)
    assert_that(submit(single_slot_scheduler, second), Equals([]))
    decisions = single_slot_scheduler.finish(
        first.work_id, RunReport(Outcome.ANSWERED), 0.05
    )
    assert_that(decisions, Equals([Send(second, TargetId('one'))]))


def test_the_more_urgent_request_goes_first(single_slot_scheduler):
    first, common, urgent = make_work(), make_work(rank=2), make_work(rank=0)
    for work in (first, common, urgent):
        submit(single_slot_scheduler, work)
    decisions = single_slot_scheduler.finish(
        first.work_id, RunReport(Outcome.ANSWERED), 0.05
    )
    assert_that(decisions[0].work, Is(urgent))


def test_a_caller_that_was_refused_goes_before_new_ones_of_its_rank(
    single_slot_scheduler,
):
    first, new, returned = make_work(), make_work(), make_work()
    submit(single_slot_scheduler, first)
    submit(single_slot_scheduler, new)
    submit(single_slot_scheduler, returned, is_returned=True)
    decisions = single_slot_scheduler.finish(
        first.work_id, RunReport(Outcome.ANSWERED), 0.05
    )
    assert_that(decisions[0].work, Is(returned))


def test_what_cannot_be_served_in_time_is_refused_at_once(
    single_slot_scheduler,
):
    submit(single_slot_scheduler, make_work())
    refused = []
    for _ in range(20):
        decisions = submit(single_slot_scheduler, make_work())
        refused += [each for each in decisions if isinstance(each, Refuse)]
    assert_that(refused[0].reason, Is(Refusal.OVERLOADED))
    # Four runs of 0.1 s fit before the answer loses its value.
    assert_that(len(single_slot_scheduler.waiting) <= 5, Is(True))


def test_a_refused_caller_is_told_a_time_that_it_can_use(single_slot_scheduler):
    for _ in range(20):
        submit(single_slot_scheduler, make_work())
    refusal = submit(single_slot_scheduler, make_work(expires=0.3, due=0.3))[0]
    assert_that(refusal.retry_after_s, GreaterThan(0))
    assert_that(refusal.retry_after_s, LessThan(0.1001))


def test_waiting_requests_that_became_hopeless_are_refused(
    single_slot_scheduler,
):
    submit(single_slot_scheduler, make_work())
    waiting = make_work()
    submit(single_slot_scheduler, waiting)
    assert_that(single_slot_scheduler.tick(0.2), Equals([]))
    decisions = single_slot_scheduler.tick(0.6)
    assert_that(decisions[0].work, Is(waiting))
    assert_that(single_slot_scheduler.waiting, Equals([]))


def test_a_caller_that_leaves_gives_back_its_slot(single_slot_scheduler):
    first, second = make_work(), make_work()
    submit(single_slot_scheduler, first)
    submit(single_slot_scheduler, second)
    decisions = single_slot_scheduler.withdraw(first.work_id, 0.01)
    assert_that(decisions[0].work, Is(second))


def test_a_waiting_caller_that_leaves_is_forgotten(single_slot_scheduler):
    first, second = make_work(), make_work()
    submit(single_slot_scheduler, first)
    submit(single_slot_scheduler, second)
    single_slot_scheduler.withdraw(second.work_id, 0.01)
    assert_that(
        single_slot_scheduler.finish(
            first.work_id, RunReport(Outcome.ANSWERED), 0.1
        ),
        Equals([]),
    )


def test_slots_of_an_entry_that_never_answers_come_back(single_slot_scheduler):
    submit(single_slot_scheduler, make_work(expires=0.5))
    single_slot_scheduler.tick(1.1)
    assert_that(
        len(submit(single_slot_scheduler, make_work(now=1.1), now=1.1)),
        Equals(1),
    )


def count_refused_retries(service, count=30, is_returned=True):
    """Return how many of `count` retries the budget refuses."""
    refused = 0
    for number in range(count):
        now = number * 0.1
        work = make_work(now=now, sends=1)
        for decision in submit(service, work, now, is_returned=is_returned):
            if isinstance(decision, Refuse):
                refused += decision.reason is Refusal.RETRY_BUDGET
            else:
                service.finish(work.work_id, RunReport(Outcome.ANSWERED), now)
    return refused


def test_second_sends_keep_to_the_budget(scheduler):
    # 8.5 of the allowance of 10 are usable; no first sends add to the budget.
    assert_that(count_refused_retries(scheduler), Equals(21))


def test_callers_that_can_come_back_leave_budget_to_those_that_did(scheduler):
    """Callers that were not refused may use half of it: 4.25 of 8.5."""
    assert_that(count_refused_retries(scheduler, is_returned=False), Equals(25))
    assert_that(count_refused_retries(scheduler), Equals(26))


@pytest.mark.parametrize(
    ('budget', 'refused'),
    [(BUDGET.for_successor(0), 30), (BUDGET.without_allowance(), 30)],
)
def test_an_allowance_is_used_once(budget, refused):
    """A successor and gateways without a coordinator do not use it again."""
    service = Scheduler(SchedulerSettings(budget))
    service.update_targets([make_record('one'), make_record('two')])
    assert_that(count_refused_retries(service), Equals(refused))


def test_who_takes_over_has_the_allowance_after_a_window():
    meter = BudgetMeter(BUDGET.for_successor(5))
    assert_that(meter.try_record_retry(14.9, is_returned=True), Is(False))
    assert_that(meter.try_record_retry(15, is_returned=True), Is(True))


@pytest.mark.parametrize(
    'outcome',
    [
        Outcome.UNREACHABLE,
        Outcome.MISDIRECTED,
        Outcome.TIMED_OUT,
        Outcome.OVERSIZED,
    ],
)
def test_a_target_that_was_lost_rests_and_is_tried_gently(
    single_slot_scheduler, outcome
):
    first = make_work()
    submit(single_slot_scheduler, first)
    single_slot_scheduler.finish(first.work_id, RunReport(outcome), 0)
    assert_that(submit(single_slot_scheduler, make_work()), Equals([]))
    assert_that(len(single_slot_scheduler.dispatch(0.3)), Equals(1))


def test_a_target_that_sheds_beside_free_slots_goes_on(scheduler):
    """Guards against a pause for every shed request.

    Seen on scale-1: all targets of a service shed half of their requests.
    """
    work = make_work()
    target = submit(scheduler, work)[0].target
    scheduler.finish(work.work_id, RunReport(Outcome.SHED), 0)
    assert_that(scheduler.targets[target].has_room(0), Is(True))


def test_a_target_that_sheds_with_all_slots_taken_rests(single_slot_scheduler):
    work = make_work()
    submit(single_slot_scheduler, work)
    single_slot_scheduler.finish(work.work_id, RunReport(Outcome.SHED), 0)
    assert_that(single_slot_scheduler.targets['one'].has_room(0), Is(False))


def test_a_target_that_others_may_have_filled_rests_after_it_shed():
    service = Scheduler(SchedulerSettings(BUDGET, is_only_scheduler=False))
    service.update_targets([make_record('one')])
    work = make_work()
    submit(service, work)
    service.finish(work.work_id, RunReport(Outcome.SHED), 0)
    assert_that(service.targets['one'].has_room(0), Is(False))


def test_a_free_slot_serves_a_request_that_will_be_late(single_slot_scheduler):
    """A late answer has less value, but more than none."""
    decisions = submit(single_slot_scheduler, make_work(due=0.05))
    assert_that(isinstance(decisions[0], Send), Is(True))


def test_an_outdated_run_time_does_not_refuse_for_ever(single_slot_scheduler):
    """If it did, no run would correct the estimate."""
    first = make_work()
    single_slot_scheduler.times.routes[first.route] = 60
    assert_that(
        isinstance(submit(single_slot_scheduler, first)[0], Send), Is(True)
    )
    refused = submit(single_slot_scheduler, make_work())[0]
    assert_that(isinstance(refused, Refuse), Is(True))


def test_a_draining_target_gets_nothing(single_slot_scheduler):
    single_slot_scheduler.update_targets(
        [make_record('one', slots=1, state=TargetState.DRAINING)]
    )
    assert_that(submit(single_slot_scheduler, make_work()), Equals([]))


def test_a_new_start_of_a_target_has_a_clean_record(single_slot_scheduler):
    first = make_work()
    submit(single_slot_scheduler, first)
    single_slot_scheduler.finish(
        first.work_id, RunReport(Outcome.UNREACHABLE), 0
    )
    single_slot_scheduler.update_targets(
        [make_record('one', slots=1, started=2)]
    )
    assert_that(len(submit(single_slot_scheduler, make_work())), Equals(1))


def test_the_target_that_failed_lately_is_chosen_last(scheduler):
    for _ in range(5):
        work = make_work()
        submit(scheduler, work)
        target = work.target
        outcome = Outcome.FAILED if target == 'one' else Outcome.ANSWERED
        scheduler.finish(work.work_id, RunReport(outcome), 0.1)
    work = make_work()
    submit(scheduler, work)
    assert_that(work.target, Equals('two'))


class FixedPlacement:
    def __init__(self):
        self.denied = []

    def owner(self, key, now):
        return TargetId('one') if key < 10 else None

    def destination(self, key):
        return TargetId('one')

    def note_arrival(self, key, cost, now):
        """Ignore the load."""

    def note_work(self, key, correction, now):
        """Ignore the load."""

    def note_not_owner(self, key, target):
        self.denied.append((key, target))


@pytest.fixture
def sharded_scheduler():
    service = Scheduler(SchedulerSettings(BUDGET), FixedPlacement())
    service.update_targets([make_record('one'), make_record('two')])
    return service


def test_keys_go_to_their_owner_only(sharded_scheduler):
    works = [make_work(key=ShardKey(5)) for _ in range(3)]
    sent = [each for work in works for each in submit(sharded_scheduler, work)]
    assert_that([each.target for each in sent], Equals(['one', 'one']))


def test_keys_that_nobody_holds_now_wait(sharded_scheduler):
    assert_that(
        submit(sharded_scheduler, make_work(key=ShardKey(50))), Equals([])
    )
    assert_that(sharded_scheduler.tick(0.7)[0].reason, Is(Refusal.NO_OWNER))


def test_the_placement_learns_who_does_not_hold_a_key(sharded_scheduler):
    work = make_work(key=ShardKey(5))
    submit(sharded_scheduler, work)
    sharded_scheduler.finish(work.work_id, RunReport(Outcome.NOT_OWNER), 0.1)
    assert_that(sharded_scheduler.placement.denied, Equals([(5, 'one')]))


def crash_target(scheduler, started, fingerprint=b'poison'):
    """Send a request that crashes its target."""
    work = make_work(fingerprint=fingerprint)
    sent = submit(scheduler, work)
    if not sent or isinstance(sent[0], Refuse):
        return sent
    scheduler.finish(work.work_id, RunReport(Outcome.BROKE_OFF), 0)
    scheduler.update_targets([make_record('one', slots=1, started=started)])
    return sent


def test_a_request_that_crashed_two_targets_goes_nowhere_again(
    single_slot_scheduler,
):
    crash_target(single_slot_scheduler, started=2)
    crash_target(single_slot_scheduler, started=3)
    refusal = only(crash_target(single_slot_scheduler, started=4))
    assert_that(refusal.reason, Is(Refusal.QUARANTINED))
    other = make_work(fingerprint=b'harmless')
    assert_that(
        submit(single_slot_scheduler, other),
        Equals([Send(other, TargetId('one'))]),
    )


# DENIED: a target in trouble answered with invalid statuses and was restarted;
# the requests that it had run are no suspects.
def test_a_target_that_sent_an_invalid_response_was_not_crashed(
    single_slot_scheduler,
):
    for started in (2, 3):
        work = make_work(fingerprint=b'unlucky')
        submit(single_slot_scheduler, work)
        single_slot_scheduler.finish(
            work.work_id, RunReport(Outcome.INVALID), 0
        )
        slots = single_slot_scheduler.targets[TargetId('one')]
        assert_that(slots.failure_rate, GreaterThan(0))
        single_slot_scheduler.update_targets(
            [make_record('one', slots=1, started=started)]
        )
    work = make_work(fingerprint=b'unlucky')
    assert_that(
        submit(single_slot_scheduler, work),
        Equals([Send(work, TargetId('one'))]),
    )


def test_answers_that_break_off_without_a_death_are_no_crash(
    single_slot_scheduler,
):
    for _ in range(5):
        work = make_work(fingerprint=b'unlucky')
        submit(single_slot_scheduler, work)
        single_slot_scheduler.finish(
            work.work_id, RunReport(Outcome.BROKE_OFF), 0
        )
    work = make_work(fingerprint=b'unlucky')
    assert_that(
        submit(single_slot_scheduler, work),
        Equals([Send(work, TargetId('one'))]),
    )


# DRAIN: a coordinator without the store went on to name a target that left.
def test_a_target_that_a_sender_knows_left_rests(single_slot_scheduler):
    work = make_work()
    submit(single_slot_scheduler, work)
    single_slot_scheduler.finish(work.work_id, RunReport(Outcome.LEAVING), 0)
    slots = single_slot_scheduler.targets['one']
    assert_that(slots.has_room(LEAVING_PAUSE_S - 0.1), Is(False))
    # The sender may know less than the store says by now.
    assert_that(slots.has_room(LEAVING_PAUSE_S), Is(True))
    assert_that(slots.losses, Equals(0))
