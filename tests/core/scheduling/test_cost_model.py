"""Expected work by cost class, with work times as users have them."""

from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from laburnumyard.core.cost_classes import cost_class, path_shape
from laburnumyard.core.scheduling._cost_model import (
    MAX_CLASSES,
    MAX_FACTOR,
    CostModel,
)
from laburnumyard.core.scheduling._run_times import RunTimes
from tests.core.scheduling.conftest import make_work

SHORT = cost_class('GET', '/bags/17', 0, None)
LONG = cost_class('POST', '/bags/17/manifest', 9000, None)


def work_time(random):
    """Log-normal, and for 3 % of the requests seven times as long."""
    tail = random.choices((1, 7), (97, 3))[0]
    return random.lognormvariate(-0.125, 0.5) * tail


def play(model, random, factors, since=0, runs=500, per_second=100):
    """Record runs of classes, each with its part of the work."""
    now = since
    for _ in range(runs):
        number = random.choice(tuple(factors))
        work = make_work(now, cost_class=number)
        model.record(work, factors[number] * work_time(random), now)
        now += 1 / per_second
    return now


def factor(model, number, now):
    return model.factor(make_work(now, cost_class=number), now)


@pytest.fixture
def model():
    return CostModel(RunTimes())


@pytest.mark.parametrize('seed', [1, 2, 3, 4, 5])
def test_requests_of_one_route_that_cost_four_times_as_much(model, seed):
    now = play(model, Random(seed), {SHORT: 0.4, LONG: 1.6})
    ratio = factor(model, LONG, now) / factor(model, SHORT, now)
    assert_that(ratio, GreaterThan(2.5))
    assert_that(ratio, LessThan(6.5))
    mean = (factor(model, LONG, now) + factor(model, SHORT, now)) / 2
    assert_that(abs(mean - 1), LessThan(0.25))


# Heavy tails make some class look expensive, and its requests go elsewhere.
@pytest.mark.parametrize('seed', range(8))
def test_classes_that_cost_the_same_stay_at_the_mean_of_the_route(model, seed):
    paths = [cost_class('GET', f'/{word}/', 0, None) for word in 'abcdefgh']
    now = play(model, Random(seed), dict.fromkeys(paths, 1))
    factors = [factor(model, number, now) for number in paths]
    assert_that(sorted(abs(each - 1) for each in factors)[-2], LessThan(0.2))


def test_a_class_with_few_samples_changes_nothing(model):
    now = play(model, Random(1), {SHORT: 1})
    for _ in range(2):
        model.record(make_work(now, cost_class=LONG), 2.5, now)
    assert_that(abs(factor(model, LONG, now) - 1), LessThan(0.15))


def test_the_work_of_a_class_is_bounded(model):
    """Guards against an estimate that keeps all of its requests out."""
    now = play(model, Random(1), {SHORT: 0.001, LONG: 1000})
    assert_that(factor(model, LONG, now) <= MAX_FACTOR, Is(True))
    assert_that(factor(model, SHORT, now) >= 1 / MAX_FACTOR, Is(True))


def test_a_request_without_a_class_has_the_mean_of_its_route(model):
    now = play(model, Random(1), {SHORT: 0.4, LONG: 1.6})
    assert_that(factor(model, 0, now), Equals(1))


# A route changes, and the coordinator goes on with what it knew.
def test_a_difference_that_ends_is_forgotten_within_seconds(model):
    random = Random(1)
    now = play(model, random, {SHORT: 0.4, LONG: 1.6}, runs=1000)
    now = play(model, random, {SHORT: 1, LONG: 1}, since=now, runs=1200)
    ratio = factor(model, LONG, now) / factor(model, SHORT, now)
    assert_that(abs(ratio - 1), LessThan(0.35))


def test_a_class_that_is_not_seen_for_a_while_is_forgotten(model):
    now = play(model, Random(1), {SHORT: 0.4, LONG: 1.6})
    assert_that(factor(model, LONG, now + 60) - 1, LessThan(0.1))


# Callers make up paths without end, and the coordinator's memory grows.
def test_made_up_paths_take_bounded_memory_and_displace_nothing(model):
    random = Random(1)
    now = play(model, random, {SHORT: 0.4, LONG: 1.6})
    for number in range(3 * MAX_CLASSES):
        made_up = cost_class('GET', f'/{number:x}x/'.replace('0', 'o'), 0, None)
        model.record(make_work(now, cost_class=made_up), 1, now)
        assert_that(len(model.classes) <= MAX_CLASSES, Is(True))
    assert_that(factor(model, SHORT, now), LessThan(0.8))


@pytest.mark.parametrize(
    ('path', 'shape'),
    [
        ('/bags/17', '/bags/*'),
        (
            '/bags/a3f9/items/2?page=12&sort=name',
            '/bags/*/items/*?page=*&sort=name',
        ),
        ('/bags/manifest', '/bags/manifest'),
        ('*', '*'),
        ('', ''),
    ],
)
def test_the_shape_of_a_path(path, shape):
    assert_that(path_shape(path), Equals(shape))


def test_the_parts_of_a_cost_class():
    plain = cost_class('GET', '/bags/17', 0, None)
    assert_that(cost_class('GET', '/bags/18', 0, None), Equals(plain))
    others = {
        plain,
        cost_class('PUT', '/bags/17', 0, None),
        cost_class('GET', '/bags/17/manifest', 0, None),
        cost_class('GET', '/bags/17', 5000, None),
        cost_class('GET', '/bags/17', 0, 0),
        cost_class('GET', '/bags/17', 0, 65535),
    }
    assert_that(len(others), Equals(6))
    assert_that(cost_class('GET', '/\udcff', 2**40, 65535), LessThan(2**32))
