"""Heavy load of pooled services, in virtual time and without a network.

The loads are those of the pooled services of the two new deployments; machines
of deployment A are three times as slow a fifth of the time, for 0.4 s at once.
"""

from dataclasses import replace
from functools import cache, partial
from statistics import mean

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from laburnumyard.core.scheduling import Scheduler, SchedulerSettings
from standins.placement_policies import PresentPace
from standins.pooled_model import (
    Kind,
    PooledLoad,
    PooledModel,
    silent,
    truthful,
)

SEEDS = tuple(range(1, 13))
DURATION_S = 12
PAYOUT = Kind('mo-payout', 1, 149, 0.13, 0.519, 2.076, 0.3)
MANIFEST = Kind('bag-manifest', 0, 160, 0.072, 0.26, 1.248, 0.12)
PRIZE = Kind('prize-payout', 1, 231, 0.25, 0.817, 3.064, 0.3)
SLOW_MACHINES = PooledLoad((PAYOUT, MANIFEST), targets=14)
HEAVY_TAILS = PooledLoad((PRIZE,), targets=24, slow_share=0)
# One kind of request, at targets that are never slow by themselves.
CALM = PooledLoad(
    (Kind('race-entry', 0, 120, 0.1, 0.5, 2, 0.3),),
    targets=12,
    slow_share=0,
    has_paths=False,
)
# Bound on the difference of two mean shares by chance. With four seeds, two
# runs of the same placement differed by 0.0042.
CHANCE = 0.004


def always_slow(machine, report):
    return replace(report, slowdown=3.0)


def at_random(machine, report):
    return replace(report, slowdown=machine.random.choice((1.0, 1.0, 3.0)))


def inverse(machine, report):
    return replace(report, slowdown=4 - report.slowdown)


def always_full(machine, report):
    return replace(report, running=50, waiting=machine.random.choice((0, 50)))


@cache
def play(load, policy=Scheduler, reporter=truthful, liar=None):
    """Return the results of all seeds; a liar is every fourth target."""
    results = []
    for seed in SEEDS:
        scheduler = policy(SchedulerSettings())
        model = PooledModel(load, seed, scheduler, reporter)
        if liar:
            model.reporters.update(
                dict.fromkeys(tuple(model.machines)[::4], liar)
            )
        results.append(model.run(DURATION_S))
    return results


def share(*args, **options):
    return mean(each.total_share() for each in play(*args, **options))


@pytest.mark.parametrize('load', [SLOW_MACHINES, HEAVY_TAILS])
def test_requests_of_different_cost_earn_more_than_by_pace_alone(load):
    """Machines that turn slow, targets of unlike speed, and heavy tails."""
    assert_that(share(load), GreaterThan(share(load, PresentPace) + 0.002))


@pytest.mark.parametrize('load', [SLOW_MACHINES, HEAVY_TAILS])
def test_without_reports_nothing_gets_worse(load):
    """Guards against a placement that depends on reports."""
    present = share(load, PresentPace)
    assert_that(share(load, reporter=silent), GreaterThan(present - CHANCE / 2))


@pytest.mark.parametrize('lie', [always_slow, at_random, inverse, always_full])
def test_reports_that_are_wrong_do_no_harm(lie):
    """Guards against targets that are chosen for what they say."""
    honest = share(SLOW_MACHINES, reporter=silent)
    assert_that(
        share(SLOW_MACHINES, reporter=lie), GreaterThan(honest - CHANCE)
    )


@pytest.mark.parametrize('lie', [always_slow, at_random, inverse, always_full])
def test_a_fourth_of_the_targets_that_lies_does_no_harm(lie):
    honest = share(SLOW_MACHINES, reporter=silent)
    mixed = share(SLOW_MACHINES, liar=lie)
    assert_that(mixed, GreaterThan(honest - CHANCE))


def change_speed(seed, changes):
    """Change the speed of the fastest target; return when it got requests."""
    model = PooledModel(CALM, seed, reporter=silent)
    fastest = max(model.machines.values(), key=lambda each: each.speed)
    usual = fastest.speed
    for at, factor in changes.items():
        model.at(at, partial(setattr, fastest, 'speed', factor * usual))
    return model.run(20).sent_at[fastest.name]


def count_between(times, since, until):
    return sum(since <= at < until for at in times)


@pytest.mark.parametrize('seed', [1, 2, 3, 4, 5])
def test_a_target_that_turns_slow_is_left_within_a_few_runs(seed):
    """Its reports do not say so; four of the runs are in its slots by then."""
    sent_at = change_speed(seed, {8: 0.2})
    assert_that(count_between(sent_at, 6, 8), GreaterThan(40))
    assert_that(count_between(sent_at, 8, 10), LessThan(12))
    assert_that(count_between(sent_at, 10, 16), LessThan(6))


@pytest.mark.parametrize('seed', [1, 2, 3, 4, 5])
def test_a_target_that_is_fast_again_gets_requests_again(seed):
    """Guards against an estimate that no run corrects."""
    sent_at = change_speed(seed, {6: 0.2, 9: 1})
    assert_that(count_between(sent_at, 16, 20), GreaterThan(40))


@pytest.mark.parametrize('seed', [1, 2])
def test_a_load_has_the_same_requests_whatever_places_them(seed):
    """The comparison of policies is one of the same requests."""
    asked = [
        PooledModel(CALM, seed, policy(SchedulerSettings())).run(5).asked
        for policy in (Scheduler, PresentPace)
    ]
    assert_that(asked[0], Equals(asked[1]))
