"""Cold targets: no second may hold more requests than the operator's bound.

The load is that of deployment A: 74 gateways, a target with 4 slots that
tolerates 7.1 requests a second while it is cold, and a bound of 7.1 x 1.5 + 8.
"""

from bisect import bisect_left
from dataclasses import replace
from itertools import pairwise
from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from laburnumyard.core.rate_limits import (
    COLD_GRANT_LIFE_S,
    TURN_S,
    UNCOORDINATED_PART,
    WarmUpBound,
)
from laburnumyard.core.scheduling import (
    Outcome,
    RunReport,
    Scheduler,
    SchedulerSettings,
    Send,
    TargetSlots,
)
from laburnumyard.core.scheduling._send_rate import RateLimiter, SendRate
from tests.core.scheduling.conftest import BUDGET, make_record, make_work

PER_SECOND = 7.1
BOUND = WarmUpBound(1.5, 8)
CAP = PER_SECOND * BOUND.overshoot + BOUND.slack
GATEWAYS = 74
STEP_S = 0.01
COLD = replace(make_record('one', slots=4), cold_until=1e9)


def most_in_a_second(times):
    times = sorted(times)
    return max(
        (bisect_left(times, at + 1) - index for index, at in enumerate(times)),
        default=0,
    )


def make_slots(record=COLD, sole_until=1e9):
    limiter = RateLimiter()
    limiter.warm_up_per_s = BOUND.rate(PER_SECOND)
    limiter.sole_until = sole_until
    return TargetSlots(record, limiter)


def make_uncoordinated(number, gateways=GATEWAYS):
    slots = make_slots()
    slots.limiter.turns_of = f'gateway-{number}'
    slots.limiter.cold_share = 1 / gateways
    return slots


def send_all(slots, now):
    """Send as many requests as the target may get now."""
    sent = 0
    while slots.has_room(now):
        slots.occupy(now)
        slots.running = 0
        sent += 1
    return sent


def steps(since, until):
    count = round((until - since) / STEP_S)
    return [since + index * STEP_S for index in range(count)]


# The rate must not be lowered where the bound has room for all schedulers.
def test_the_bound_of_the_deployment_allows_the_whole_rate():
    assert_that(BOUND.rate(PER_SECOND), Equals(PER_SECOND))
    assert_that(BOUND.rate(0), Equals(0))


# A bound without slack is kept by sending less.
@pytest.mark.parametrize('bound', [WarmUpBound(1, 1), WarmUpBound(1.5, 0)])
def test_a_tight_bound_lowers_the_rate(bound):
    rate = bound.rate(20)
    assert_that(rate, LessThan(20))
    coordinators = 2 + (1 + UNCOORDINATED_PART) * rate * (1 + COLD_GRANT_LIFE_S)
    turns = UNCOORDINATED_PART * rate * (1 + COLD_GRANT_LIFE_S + TURN_S)
    cap = 20 * bound.overshoot + bound.slack
    assert_that(coordinators + turns, LessThan(cap + 0.001))


# A bucket that saved half a second of tokens would send them at once.
@pytest.mark.parametrize('idle_s', [0, 0.07, 1, 100])
def test_one_coordinator_keeps_the_rate_in_any_second(idle_s):
    slots = make_slots()
    slots.has_room(10)
    sent = [
        now
        for now in steps(10 + idle_s, 14 + idle_s)
        for _ in range(send_all(slots, now))
    ]
    assert_that(most_in_a_second(sent), LessThan(PER_SECOND + 1.001))
    assert_that(len(sent), GreaterThan(3 * PER_SECOND))


# The target got a request per step until the gateway learned that it is cold,
# 22 a second; none may follow within the same second.
def test_requests_of_the_last_second_count_when_a_target_turns_cold():
    slots = make_slots(make_record('one', slots=4))
    for now in steps(10, 11):
        send_all_warm(slots, now)
    slots.record = COLD
    sent = [now for now in steps(11, 14) if send_all(slots, now)]
    assert_that(min(sent) - slots.warm_sent_at, GreaterThan(0.999))


# A bucket that was filled while the target was cold before.
def test_a_second_cold_spell_starts_with_an_empty_bucket():
    slots = make_slots()
    send_all(slots, 10)
    slots.record = make_record('one', slots=4)
    send_all_warm(slots, 30)
    slots.record = COLD
    assert_that(send_all(slots, 30.1), Equals(0))
    assert_that(send_all(slots, 30.99), Equals(0))
    assert_that(send_all(slots, 31.2), Equals(1))


# A limit of 40 a second that the target states itself has a burst of 20.
def test_a_fresh_bucket_of_a_stated_limit_is_not_used_for_a_cold_target():
    limiter = RateLimiter()
    limiter.warm_up_per_s = PER_SECOND
    limiter.rates[COLD.life] = SendRate(40, 0)
    slots = TargetSlots(COLD, limiter)
    assert_that(send_all(slots, 10), Equals(0))


def send_all_warm(slots, now):
    slots.occupy(now)
    slots.running = 0


# 74 gateways with a token each would send 74 requests in one second.
@pytest.mark.parametrize('idle_s', [0, 1, 60])
def test_all_gateways_without_a_coordinator_keep_the_bound(idle_s):
    gateways = [make_uncoordinated(number) for number in range(GATEWAYS)]
    for slots in gateways:
        slots.has_room(1000)
    sent = [
        now
        for now in steps(1000 + idle_s, 1050 + idle_s)
        for _ in range(sum(send_all(slots, now) for slots in gateways))
    ]
    assert_that(most_in_a_second(sent), LessThan(CAP - PER_SECOND - 1))
    # They take their turns, if seldom.
    assert_that(len(sent), GreaterThan(GATEWAYS - 1))


# A coordinator that lost the store goes on for seconds beside its successor,
# and a third of the gateways reach neither.
@pytest.mark.parametrize('seed', range(5))
def test_a_takeover_and_gateways_alone_keep_the_bound(seed):
    random = Random(seed)
    takeover = 1010 + random.random()
    earlier = make_slots(sole_until=takeover)
    later = make_slots()
    alone = [
        make_uncoordinated(f'{seed}-{number}') for number in range(GATEWAYS)
    ]
    sent = []
    for now in steps(1000, 1030):
        senders = [earlier, *alone]
        if now >= takeover:
            senders.append(later)
        sent += [now] * sum(send_all(slots, now) for slots in senders)
    # Each request reaches the target a little later than its grant.
    arrived = [at + random.random() * COLD_GRANT_LIFE_S for at in sent]
    assert_that(most_in_a_second(arrived), LessThan(CAP))


# A coordinator that was paused for ten seconds finds tokens of one request.
def test_a_coordinator_that_was_paused_sends_one_request():
    slots = make_slots(sole_until=11)
    send_all(slots, 10)
    assert_that(send_all(slots, 20), Equals(1))
    assert_that(slots.rate(20).per_second, Equals(PER_SECOND / 4))


# The position of a gateway's turns moves when the count of gateways changes.
def test_a_changed_count_of_gateways_gives_no_second_turn():
    slots = make_uncoordinated(1)
    sent = []
    for index, now in enumerate(steps(0, 300)):
        slots.limiter.cold_share = 1 / (GATEWAYS + index % 7)
        sent += [now] * send_all(slots, now)
    period = GATEWAYS / (UNCOORDINATED_PART * PER_SECOND)
    gaps = [later - at for at, later in pairwise(sent)]
    assert_that(min(gaps), GreaterThan(period / 2))


# Refusals must say truthfully when to come back.
def test_the_wait_for_a_turn_ends_with_it():
    slots = make_uncoordinated(3)
    for now in (1000, 1007.3, 1011):
        wait = slots.rate(now).wait(1, now)
        assert_that(slots.has_room(now + wait + 0.001), Is(True))


def test_the_wait_for_a_held_bucket_ends_with_it():
    slots = make_slots(make_record('one', slots=4))
    send_all_warm(slots, 10)
    slots.record = COLD
    wait = slots.rate(10.2).wait(1, 10.2)
    assert_that(slots.has_room(10.2 + wait - 0.01), Is(False))
    assert_that(slots.has_room(10.2 + wait + 0.001), Is(True))


# 60 requests a second for two targets, one of them cold: the warm one has
# slots for all of them.
def test_requests_go_to_warm_targets_meanwhile():
    service = Scheduler(SchedulerSettings(BUDGET))
    service.limiter.warm_up_per_s = PER_SECOND
    service.update_targets([COLD, make_record('two', slots=8)])
    random = Random(3)
    running, sent = [], {'one': [], 'two': []}
    refused = 0
    for now in steps(0, 10):
        decisions = service.tick(now)
        for ends_at, work in tuple(running):
            if ends_at <= now:
                running.remove((ends_at, work))
                decisions += service.finish(
                    work.work_id, RunReport(Outcome.ANSWERED), now
                )
        if random.random() < 60 * STEP_S:
            work = make_work(now)
            decisions += service.submit(work, now, is_returned=False)
        for decision in decisions:
            if isinstance(decision, Send):
                sent[decision.target].append(now)
                running.append((now + 0.1, decision.work))
            else:
                refused += 1
    assert_that(most_in_a_second(sent['one']), LessThan(PER_SECOND + 1.001))
    assert_that(len(sent['one']), GreaterThan(0))
    assert_that(refused, Equals(0))


# A target that was three times as slow while it was cold got nothing later,
# as long as the others had room.
@pytest.mark.parametrize(('per_second', 'pace'), [(PER_SECOND, 1), (0, 3)])
def test_the_pace_of_a_cold_target_is_forgotten_when_it_is_warm(
    per_second, pace
):
    service = Scheduler(SchedulerSettings(BUDGET))
    service.limiter.warm_up_per_s = per_second
    service.update_targets([COLD])
    service.times.paces[COLD.target] = 3
    service.update_targets([COLD])
    assert_that(service.times.pace(COLD.target), Equals(3))
    service.update_targets([make_record('one', slots=4)])
    assert_that(service.times.pace(COLD.target), Equals(pace))
