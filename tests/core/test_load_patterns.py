"""Loads of the users' heaviest days, in virtual time and without a network.

Each test names the pattern. The baseline keeps the keys as they were dealt.
"""

import math
from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, Is, LessThan

from laburnumyard.core.scheduling import _budget
from standins.service_model import Arrival, ServiceModel

# The paces of the users' catalogue: two fast targets for each slow one.
PACES = {f'target-{number}': (0.8, 0.8, 1.6)[number % 3] for number in range(9)}
MEAN_WORK_S = 0.1
KEYS = 65536
LENGTH_S = 12
HOT_KEYS = 200
HOT_PART = 0.35
# Bounds that issue 10 states: the value on quiet days and on days of high
# load, and the busiest target over the mean.
QUIET_SHARE = 0.85
HIGH_LOAD_SHARE = 0.7
WORST_IMBALANCE = 1.5
# What is accepted is mostly answered within the objective.
IN_TIME_SHARE = 0.8


def work_time(random):
    """Mostly short work, and a few requests that take seven times as long."""
    tail = random.choices((1, 7), (97, 3))[0]
    return min(1.1, MEAN_WORK_S * random.lognormvariate(-0.1, 0.5) * tail)


def make_load(seed, rate, key):
    """Arrivals at a rate that may change, each with a key."""
    random = Random(seed)
    now = 0
    while now < LENGTH_S:
        now += random.expovariate(rate(now))
        yield Arrival(now, key(random, now), work_time(random))


def busy_stretch(random):
    """Most requests ask for few keys, which lie close together."""
    return int(KEYS * 0.3 + random.paretovariate(0.8) * 3) % KEYS


def hot_spot(random, now):
    """A third of the load is on some neighbouring keys, which change."""
    if random.random() < HOT_PART:
        start = 1000 if now < LENGTH_S / 2 else 40_000
        return start + random.randrange(HOT_KEYS)
    return busy_stretch(random)


def steady(rate):
    return lambda now: rate


def wave_with_burst(now):
    wave = 105 * (1 + 0.5 * math.sin(now))
    is_burst = 5 < now < 7
    return wave * 1.5 if is_burst else wave


def play(seed, rate, key, disturb=None, **options):
    model = ServiceModel(PACES, **options)
    if disturb:
        disturb(model)
    return model.run(make_load(seed, rate, key), LENGTH_S + 2)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_hot_spot_that_moves(seed):
    """Issue 10 asks for 0.85 of the value, and 1.5 of the mean."""
    ours = play(seed, steady(105), hot_spot)
    dealt = play(seed, steady(105), hot_spot, is_balanced=False)
    assert_that(ours.share, GreaterThan(QUIET_SHARE))
    assert_that(ours.share > dealt.share + 0.05, Is(True))
    assert_that(ours.imbalance, LessThan(WORST_IMBALANCE))


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_wave_with_burst(seed):
    """Issue 10 asks for 0.7 of the value on days of high load."""
    ours = play(seed, wave_with_burst, hot_spot)
    dealt = play(seed, wave_with_burst, hot_spot, is_balanced=False)
    assert_that(ours.share, GreaterThan(HIGH_LOAD_SHARE))
    assert_that(ours.share > dealt.share, Is(True))


def slow_down(model):
    def strike():
        model.paces['target-0'] *= 5

    model.at(3, strike)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_target_that_turns_slow(seed):
    ours = play(seed, steady(85), hot_spot, slow_down)
    dealt = play(seed, steady(85), hot_spot, slow_down, is_balanced=False)
    assert_that(ours.share, GreaterThan(QUIET_SHARE))
    assert_that(ours.share > dealt.share, Is(True))


def leave_at_the_crest(model):
    model.at(6, lambda: model.drain('target-1'))


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_scale_in_at_the_crest(seed):
    ours = play(seed, wave_with_burst, hot_spot, leave_at_the_crest)
    assert_that(ours.share, GreaterThan(HIGH_LOAD_SHARE))
    assert_that('target-1' in ours.answers, Is(True))


def retry_storm(now):
    """Twice what the service can do, for three seconds."""
    return 360 if 4 < now < 7 else 60


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_retry_storm_leaves_what_can_be_served_in_time(seed):
    """What is accepted is answered in time; the rest is refused at once."""
    ours = play(seed, retry_storm, hot_spot)
    accepted = ours.asked - ours.refused
    assert_that(ours.earned / accepted, GreaterThan(IN_TIME_SHARE))


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_targets_that_shed_by_chance(seed, monkeypatch):
    """All targets shed half of their requests; callers come back once."""
    ours = play(seed, steady(105), hot_spot, shed_share=0.55)
    assert_that(ours.share, GreaterThan(HIGH_LOAD_SHARE))
    monkeypatch.setattr(_budget, 'FIRST_TRY_PART', 1)
    undivided = play(seed, steady(105), hot_spot, shed_share=0.55)
    assert_that(ours.share > undivided.share, Is(True))
