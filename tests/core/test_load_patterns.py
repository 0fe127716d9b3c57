"""Heavy load patterns of the users, in virtual time and without a network.

Each test is named after its pattern. The baseline keeps the initial key
assignment and does not balance.
"""

import math
from functools import partial
from itertools import chain
from random import Random
from statistics import mean

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, Is, LessThan

from laburnumyard.core.scheduling import _budget, _wait_estimate
from standins.contended_service import (
    ContendedService,
    Kind,
    draw_callers,
    hot_key,
)
from standins.service_model import Arrival, ServiceModel

# Relative service times as in the users' catalogue: two fast targets for each
# slow one.
RELATIVE_TIMES = {
    f'target-{number}': (0.8, 0.8, 1.6)[number % 3] for number in range(9)
}
MEAN_WORK_S = 0.1
KEYS = 65536
DURATION_S = 12
HOT_KEYS = 200
HOT_SHARE = 0.35
# Bounds from issue 10: the share of the value earned on quiet days and at high
# load, and the load of the busiest target relative to the mean.
QUIET_SHARE = 0.85
HIGH_LOAD_SHARE = 0.7
WORST_IMBALANCE = 1.5
# Least share of the value earned from accepted requests.
IN_TIME_SHARE = 0.8


def work_time(random):
    """Mostly short work times, and a few that are seven times as long."""
    tail = random.choices((1, 7), (97, 3))[0]
    return min(1.1, MEAN_WORK_S * random.lognormvariate(-0.1, 0.5) * tail)


def make_load(seed, rate, key):
    """Arrivals at a rate that may change, each with a key."""
    random = Random(seed)
    now = 0
    while now < DURATION_S:
        now += random.expovariate(rate(now))
        yield Arrival(now, key(random, now), work_time(random))


def adjacent_keys(random):
    """Draw most requests from a few adjacent keys."""
    return int(KEYS * 0.3 + random.paretovariate(0.8) * 3) % KEYS


def hot_spot(random, now):
    """Put a third of the load on adjacent keys that change halfway."""
    if random.random() < HOT_SHARE:
        start = 1000 if now < DURATION_S / 2 else 40_000
        return start + random.randrange(HOT_KEYS)
    return adjacent_keys(random)


def uniform_keys(random, now):
    return random.randrange(KEYS)


def steady(rate):
    return lambda now: rate


def wave_with_burst(now):
    wave = 105 * (1 + 0.5 * math.sin(now))
    is_burst = 5 < now < 7
    return wave * 1.5 if is_burst else wave


def simulate(seed, rate, key, inject_fault=None, **options):
    model = ServiceModel(RELATIVE_TIMES, **options)
    if inject_fault:
        inject_fault(model)
    return model.run(make_load(seed, rate, key), DURATION_S + 2)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_hot_spot_that_moves(seed):
    """Issue 10 requires 0.85 of the value, and 1.5 of the mean load."""
    balanced = simulate(seed, steady(105), hot_spot)
    unbalanced = simulate(seed, steady(105), hot_spot, is_balanced=False)
    assert_that(balanced.share, GreaterThan(QUIET_SHARE))
    assert_that(balanced.share > unbalanced.share + 0.05, Is(True))
    assert_that(balanced.imbalance, LessThan(WORST_IMBALANCE))


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_wave_with_burst(seed):
    """Issue 10 requires 0.7 of the value at high load."""
    balanced = simulate(seed, wave_with_burst, hot_spot)
    unbalanced = simulate(seed, wave_with_burst, hot_spot, is_balanced=False)
    assert_that(balanced.share, GreaterThan(HIGH_LOAD_SHARE))
    assert_that(balanced.share > unbalanced.share, Is(True))


def slow_down(model):
    def slow_target_down():
        model.paces['target-0'] *= 5

    model.at(3, slow_target_down)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_target_that_turns_slow(seed):
    balanced = simulate(seed, steady(85), hot_spot, slow_down)
    unbalanced = simulate(
        seed, steady(85), hot_spot, slow_down, is_balanced=False
    )
    assert_that(balanced.share, GreaterThan(QUIET_SHARE))
    assert_that(balanced.share > unbalanced.share, Is(True))


def drain_at_peak(model):
    model.at(6, lambda: model.drain('target-1'))


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_scale_in_at_the_crest(seed):
    balanced = simulate(seed, wave_with_burst, hot_spot, drain_at_peak)
    assert_that(balanced.share, GreaterThan(HIGH_LOAD_SHARE))
    assert_that('target-1' in balanced.answers, Is(True))


def retry_storm(now):
    """Twice the capacity of the service for three seconds."""
    return 360 if 4 < now < 7 else 60


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_retry_storm_leaves_what_can_be_served_in_time(seed):
    """Accepted requests are answered in time; others are refused at once."""
    balanced = simulate(seed, retry_storm, hot_spot)
    accepted = balanced.asked - balanced.refused
    assert_that(balanced.earned / accepted, GreaterThan(IN_TIME_SHARE))


def shares_of_shedding_targets(seeds):
    """All targets shed half of their requests; callers retry once."""
    return [
        simulate(seed, steady(105), hot_spot, shed_share=0.55).share
        for seed in seeds
    ]


def test_targets_that_shed_by_chance():
    shares = shares_of_shedding_targets([1, 2, 3])
    assert_that(min(shares), GreaterThan(HIGH_LOAD_SHARE))


def test_retries_of_returned_callers_come_first(monkeypatch):
    """Guards against retries for first comers that use up the budget.

    The mean of six seeds: with the same code, the order within one seed is
    chance (seed 4 earned 0.707 with the undivided budget's 0.710).
    """
    divided = mean(shares_of_shedding_targets(range(1, 7)))
    monkeypatch.setattr(_budget, 'FIRST_TRY_PART', 1)
    undivided = mean(shares_of_shedding_targets(range(1, 7)))
    assert_that(divided, GreaterThan(undivided + 0.015))


# Requests for the keys of targets that limit their callers wait there, or flood
# them, instead of moving to targets with room.
@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('limit', [0, 2.0, 5.0])
def test_targets_that_limit_their_callers(seed, limit):
    model = ServiceModel(RELATIVE_TIMES)
    limited = ('target-0', 'target-4')
    model.at(2, lambda: model.limits.update(dict.fromkeys(limited, limit)))
    load = make_load(seed, steady(120), uniform_keys)
    result = model.run(load, DURATION_S)
    for name in limited:
        late = [at for at in model.arrivals_at[name] if at >= 5]
        most = max(
            (sum(first <= at < first + 4 for at in late) for first in late),
            default=0,
        )
        assert_that(most, LessThan(1.5 * limit * 4 + 5 + 1))
    assert_that(result.share, GreaterThan(HIGH_LOAD_SHARE))


# A service with three kinds, as on the users' contended deployments: targets of
# different speed, and a rank-0 kind whose run is short against those of the
# less urgent kinds.
PACES = {f't{number:02d}': (0.6, 0.9, 1.5)[number % 3] for number in range(12)}
CAPACITY = sum(4 / pace for pace in PACES.values())
LOOKUP = Kind('lookup', 2, 0.19, 0.608, 2.532)
PAYOUT = Kind('payout', 1, 0.13, 0.519, 2.076)
MANIFEST = Kind('manifest', 0, 0.072, 0.26, 1.248)
# Parts of the load of each kind.
MIX = {LOOKUP: 0.6, PAYOUT: 0.25, MANIFEST: 0.15}
TROUBLE_FROM_S = 3
# Rules of the page: a more urgent kind may be served less often by 5 in 100 at
# most, and get a smaller share of its value by 15 in 100 at most.
MAX_SERVED_GAP = 0.05
MAX_VALUE_GAP = 0.15
# 3 % of the requests run seven times as long: those are late or, at slow
# targets, never in time. What remains may be lost to no urgent kind.
URGENT_SHARE = 0.93


def kind_rate(kind, load, factor, until, now):
    usual = load * MIX[kind] * CAPACITY / kind.work_s
    if TROUBLE_FROM_S <= now < until:
        return usual * factor
    return usual


def play(seed, load, factors=(), *, is_keyed, repeating=0, inject=None):
    """Play the three kinds; return what each got, by name."""
    model = ContendedService(PACES, is_keyed=is_keyed, seed=seed)
    if inject:
        inject(model)
    random = Random(seed)
    raised = dict(factors)
    callers = chain.from_iterable(
        draw_callers(
            random,
            kind,
            partial(kind_rate, kind, load, raised.get(kind, 1), 8),
            DURATION_S,
            hot_key,
            repeating,
        )
        for kind in MIX
    )
    return model.play(list(callers), DURATION_S + 3)


def value_share(results):
    """Return the share of the value of all kinds, each caller counting 1."""
    asked = sum(kind.asked for kind in results.values())
    return sum(kind.share * kind.asked for kind in results.values()) / asked


def check_order(results):
    """No less urgent kind may be served better than a more urgent one."""
    kinds = [results[kind.name] for kind in (MANIFEST, PAYOUT, LOOKUP)]
    for urgent, other in ((0, 1), (0, 2), (1, 2)):
        served_gap = kinds[other].served - kinds[urgent].served
        value_gap = kinds[other].share - kinds[urgent].share
        assert_that(served_gap, LessThan(MAX_SERVED_GAP))
        assert_that(value_gap, LessThan(MAX_VALUE_GAP))


def use_former_decisions(monkeypatch):
    """Admit as before: what arrives or runs longer meanwhile is ignored."""
    monkeypatch.setattr(_wait_estimate, 'POOL_MARGIN', 0)
    monkeypatch.setattr(_wait_estimate, 'MIN_SHARE', 1)
    monkeypatch.setattr(_budget, 'LESS_URGENT_PART', 1)


@pytest.mark.parametrize('is_keyed', [True, False])
@pytest.mark.parametrize('seed', [1, 2])
def test_burst_of_a_less_urgent_kind(seed, is_keyed):
    """Guards against urgent requests that wait behind a burst of others."""
    results = play(seed, 0.6, {LOOKUP: 2.5}, is_keyed=is_keyed)
    check_order(results)
    for kind in (MANIFEST, PAYOUT):
        assert_that(results[kind.name].share, GreaterThan(URGENT_SHARE))


@pytest.mark.parametrize('is_keyed', [True, False])
@pytest.mark.parametrize('seed', [1, 2])
def test_burst_of_the_most_urgent_kind(seed, is_keyed):
    results = play(seed, 0.8, {MANIFEST: 2.5}, is_keyed=is_keyed)
    check_order(results)
    assert_that(results['manifest'].share, GreaterThan(URGENT_SHARE))


def test_overloaded_pool_answers_in_time_what_it_accepts(monkeypatch):
    """Guards against admission of all that the mean run time allows.

    With a third more load than capacity, everything waited as long as was
    admitted, and what ran longer than the mean was late.
    """
    present = play(1, 1.3, is_keyed=False)
    use_former_decisions(monkeypatch)
    former = play(1, 1.3, is_keyed=False)
    assert_that(value_share(present) > value_share(former) + 0.02, Is(True))
    assert_that(present['lookup'].late < former['lookup'].late, Is(True))


@pytest.mark.parametrize('is_keyed', [True, False])
@pytest.mark.parametrize('seed', [1, 2])
def test_callers_that_repeat_three_times_at_once(seed, is_keyed):
    """A third of the callers repeats at once while room is short."""
    raised = {LOOKUP: 1.8, PAYOUT: 1.8}
    results = play(seed, 0.6, raised, is_keyed=is_keyed, repeating=0.3)
    check_order(results)
    assert_that(results['manifest'].share, GreaterThan(URGENT_SHARE))


@pytest.mark.parametrize('is_keyed', [True, False])
@pytest.mark.parametrize('seed', [1, 2])
def test_all_targets_shed_for_long(seed, is_keyed, monkeypatch):
    """Guards against second sends of a kind that a more urgent one needs.

    The budget allows fewer second sends than the 1.2 that a request needs.
    """

    def shed(model):
        model.shed_from(TROUBLE_FROM_S, TROUBLE_FROM_S + 8.5, 0.55)

    results = play(seed, 0.5, is_keyed=is_keyed, inject=shed)
    check_order(results)
    use_former_decisions(monkeypatch)
    former = play(seed, 0.5, is_keyed=is_keyed, inject=shed)
    gained = results['manifest'].share - former['manifest'].share
    assert_that(gained, GreaterThan(0.02))


@pytest.mark.parametrize('is_keyed', [True, False])
@pytest.mark.parametrize('seed', [1, 2])
def test_a_third_of_the_targets_is_lost_and_returns_cold(seed, is_keyed):
    def lose(model):
        model.lose_from(TROUBLE_FROM_S, 7, sorted(PACES)[::3])

    results = play(seed, 0.5, is_keyed=is_keyed, inject=lose)
    check_order(results)
    assert_that(results['manifest'].share, GreaterThan(QUIET_SHARE))
    assert_that(value_share(results), GreaterThan(HIGH_LOAD_SHARE))
