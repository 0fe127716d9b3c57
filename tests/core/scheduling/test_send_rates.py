"""Targets that state a rate limit, with coordinators that come and go."""

from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from laburnumyard.core.ids import ShardKey, TargetId
from laburnumyard.core.rate_limits import (
    LIMIT_EXPIRY_S,
    NO_LIMIT,
    UNKNOWN_LIMIT,
    LimitKind,
    LimitStatement,
    RateLimit,
)
from laburnumyard.core.scheduling import (
    Outcome,
    Refusal,
    Refuse,
    RunReport,
    Scheduler,
    SchedulerSettings,
    Send,
)
from laburnumyard.core.target_directory import TargetLife
from tests.core.scheduling.conftest import BUDGET, make_record, make_work

LIFE = TargetLife(TargetId('one'), 1)
STEP_S = 0.01
WINDOW_S = 4.0


class OneOwner:
    """All keys are held by one target."""

    def owner(self, key, now):
        return LIFE.target

    def destination(self, key):
        return LIFE.target

    def note_arrival(self, key, cost, now):
        """Count nothing."""

    def note_work(self, key, correction, now):
        """Count nothing."""


def stated(per_second):
    return LimitStatement(LimitKind.STATED, per_second)


def make_scheduler(placement=None, names=('one', 'two'), slots=3):
    service = Scheduler(SchedulerSettings(BUDGET), placement)
    service.update_targets([make_record(name, slots) for name in names])
    return service


def play(service, statement, until, since=0, rate=50, run_s=0.05):
    """Send random requests; return when the limited target got some."""
    random = Random(7)
    sent, running = [], []
    now = since
    while now < until:
        for work in pop_ended(running, now):
            said = statement if work.target == LIFE.target else NO_LIMIT
            decisions = service.finish(
                work.work_id, RunReport(Outcome.ANSWERED, 0, said), now
            )
            sent += started(decisions, running, now, run_s)
        if random.random() < rate * STEP_S:
            key = ShardKey(1) if service.placement else None
            work = make_work(now, key=key)
            decisions = service.submit(work, now, is_returned=False)
            sent += started(decisions, running, now, run_s)
        sent += started(service.tick(now), running, now, run_s)
        now += STEP_S
    return sent


def pop_ended(running, now):
    ended = [each for each in running if each[0] <= now]
    for each in ended:
        running.remove(each)
    return [work for _, work in ended]


def started(decisions, running, now, run_s):
    sends = [each for each in decisions if isinstance(each, Send)]
    running += [(now + run_s, send.work) for send in sends]
    return [now for send in sends if send.target == LIFE.target]


def most_in_window(times):
    return max(
        (
            sum(first <= at < first + WINDOW_S for at in times)
            for first in times
        ),
        default=0,
    )


@pytest.mark.parametrize('per_second', [0, 0.3, 2.5, 7])
@pytest.mark.parametrize('placement', [None, OneOwner()])
def test_a_target_gets_no_more_than_its_limit(per_second, placement):
    service = make_scheduler(placement)
    sent = play(service, stated(per_second), 20)
    settled = [at for at in sent if at >= 1]
    allowed = 1.5 * per_second * WINDOW_S + 5
    assert_that(most_in_window(settled), LessThan(allowed + 1))


def test_a_large_limit_is_no_limit():
    limited = play(make_scheduler(names=('one',)), stated(1e9), 10)
    free = play(make_scheduler(names=('one',)), NO_LIMIT, 10)
    assert_that(len(limited), Equals(len(free)))


@pytest.mark.parametrize('statement', [stated(0), stated(2)])
def test_the_end_of_a_limit_is_learnt_from_the_next_response(statement):
    service = make_scheduler(names=('one',))
    play(service, statement, 6, rate=20)
    sent = play(service, NO_LIMIT, 12, since=6, rate=20)
    assert_that(service.limiter.rate_of(LIFE, 12), Is(None))
    assert_that(sum(at >= 8 for at in sent), GreaterThan(0.8 * 20 * 4))


@pytest.mark.parametrize(
    'said', [UNKNOWN_LIMIT, LimitStatement(LimitKind.MALFORMED, text='x')]
)
def test_a_response_that_says_nothing_keeps_the_limit(said):
    service = make_scheduler()
    service.limiter.record(LIFE, stated(1), 0)
    service.limiter.record(LIFE, said, 1)
    assert_that(service.limiter.rate_of(LIFE, 1).per_second, Equals(1))


def test_a_changed_limit_holds_at_once():
    service = make_scheduler()
    service.limiter.record(LIFE, stated(100), 0)
    service.limiter.rate_of(LIFE, 0)
    service.limiter.record(LIFE, stated(1), 1)
    rate = service.limiter.rate_of(LIFE, 1)
    rate.take(1)
    assert_that(rate.wait(2, 1), GreaterThan(0.9))


def test_a_later_start_and_another_target_have_no_limit():
    service = make_scheduler()
    service.limiter.record(LIFE, stated(1), 0)
    service.update_targets([make_record('one', started=2), make_record('two')])
    later = TargetLife(LIFE.target, 2)
    assert_that(service.limiter.rate_of(later, 1), Is(None))
    assert_that(service.limiter.limited(), Equals(set()))


def test_a_target_that_is_missing_for_a_moment_keeps_its_limit():
    service = make_scheduler()
    service.limiter.record(LIFE, stated(1), 0)
    service.update_targets([make_record('two')])
    service.update_targets([make_record('one'), make_record('two')])
    assert_that(service.targets['one'].has_room(0.5), Is(False))


def test_a_key_of_a_limited_target_is_refused_with_the_time_of_its_turn():
    service = make_scheduler(OneOwner())
    service.limiter.record(LIFE, stated(1), 0)
    work = make_work(0, key=ShardKey(1), due=0.4, expires=6)
    refusal = service.submit(work, 0, is_returned=False)[0]
    assert_that(isinstance(refusal, Refuse), Is(True))
    assert_that(refusal.reason, Is(Refusal.RATE_LIMITED))
    assert_that(refusal.retry_after_s, Equals(1))


def test_pooled_requests_go_to_targets_with_room():
    service = make_scheduler()
    service.limiter.record(LIFE, stated(0), 0)
    works = [make_work() for _ in range(3)]
    sent = [service.submit(work, 0, is_returned=False)[0] for work in works]
    assert_that([each.target for each in sent], Equals([TargetId('two')] * 3))


# Requests wait until they are too late, though no target will take them.
def test_what_limited_targets_cannot_take_is_refused_at_once():
    service = make_scheduler()
    for name in ('one', 'two'):
        service.limiter.record(TargetLife(TargetId(name), 1), stated(1), 0)
    decisions = [
        service.submit(make_work(2), 2, is_returned=False) for _ in range(9)
    ]
    refused = [each for found in decisions for each in found]
    refused = [each for each in refused if isinstance(each, Refuse)]
    assert_that(len(refused), GreaterThan(5))
    assert_that(max(each.retry_after_s for each in refused), GreaterThan(0.2))


def test_a_new_coordinator_adopts_what_gateways_know():
    service = make_scheduler()
    service.limiter.adopt(LIFE, RateLimit(1, 0))
    assert_that(service.targets['one'].has_room(0.5), Is(False))


def test_older_knowledge_does_not_replace_a_response():
    service = make_scheduler()
    service.limiter.record(LIFE, NO_LIMIT, 5)
    service.limiter.adopt(LIFE, RateLimit(1, 4))
    assert_that(service.limiter.rate_of(LIFE, 5), Is(None))


def test_a_limit_that_nobody_repeats_expires():
    service = make_scheduler()
    service.limiter.adopt(LIFE, RateLimit(1, 0))
    assert_that(service.targets['one'].has_room(LIMIT_EXPIRY_S), Is(True))


# A scheduler that was paused sends a burst for the time of its pause.
def test_a_pause_saves_no_requests_up():
    service = make_scheduler()
    service.limiter.adopt(LIFE, RateLimit(2, 0))
    service.limiter.rate_of(LIFE, 0)
    rate = service.limiter.rate_of(LIFE, 9)
    sent = 0
    while rate.has_token(9):
        rate.take(9)
        sent += 1
    assert_that(sent, Equals(1))


# Each gateway of a fleet without a coordinator keeps to the whole limit, and
# the target gets it many times over.
@pytest.mark.parametrize('gateways', [9, 195])
def test_a_fleet_without_a_coordinator_keeps_to_the_limit(gateways):
    sent = []
    for _ in range(gateways):
        service = make_scheduler()
        service.limiter.share = 1 / gateways
        service.limiter.adopt(LIFE, RateLimit(4, 0))
        sent += play(service, stated(4), 8, rate=9)
    assert_that(most_in_window(sorted(sent)), LessThan(1.5 * 4 * WINDOW_S + 6))


# A coordinator that a later one has replaced and both together flood a target.
def test_two_coordinators_for_a_moment_keep_to_the_limit():
    earlier, later = make_scheduler(), make_scheduler()
    sent = play(earlier, stated(4), 6)
    later.limiter.adopt(LIFE, RateLimit(4, 5))
    sent += play(later, stated(4), 10, since=5)
    settled = [at for at in sent if at >= 1]
    assert_that(most_in_window(settled), LessThan(1.5 * 4 * WINDOW_S + 6))


def test_a_quiet_limited_target_is_reported_for_a_request():
    limiter = make_scheduler().limiter
    limiter.record(LIFE, stated(1), 0)
    assert_that(limiter.quiet_targets(1), Equals(frozenset()))
    assert_that(limiter.quiet_targets(3), Equals({LIFE.target}))
