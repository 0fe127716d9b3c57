"""Trust in the load reports of targets."""

import math
from random import Random
from types import MappingProxyType

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from laburnumyard.core.ids import TargetId
from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.scheduling._reported_load import (
    REPORT_LIFE_S,
    ReportedLoads,
)

TARGETS = tuple(TargetId(f'i-{number}') for number in range(10))
STEP_S = 0.02


def slow_at(target, now):
    """A fifth of the time a machine is three times as slow."""
    draw = Random(f'{target}{int(now / REPORT_LIFE_S)}')
    return bool(draw.choices((0, 1), (4, 1))[0])


def truthful(random, is_slow):
    return 3.0 if is_slow else 1.0


def at_random(random, is_slow):
    return random.choice((1.0, 1.0, 1.0, 3.0))


def inverse(random, is_slow):
    return 1.0 if is_slow else 3.0


def always_slow(random, is_slow):
    return 3.0


def missing(random, is_slow):
    """Say nothing about the machine."""


def play(reports, say, seconds=20, liars=MappingProxyType({})):
    """Play short runs of all targets, each of which ends with a report."""
    random = Random(3)
    now = 0
    while now < seconds:
        for target in TARGETS:
            is_slow = slow_at(target, now)
            predicted = reports.prediction(target, now)
            run = random.lognormvariate(0, 0.6) * truthful(random, is_slow)
            reports.note_run(target, predicted, math.log(run))
            teller = liars.get(target, say)
            said = LoadReport(1, 0, 4, teller(random, is_slow))
            reports.note_report(target, said, 1, now)
        now += STEP_S
    return now - STEP_S


@pytest.fixture
def reports():
    return ReportedLoads()


def test_reports_that_runs_confirm_are_trusted(reports):
    now = play(reports, truthful)
    assert_that(reports.trust(TARGETS[0]), GreaterThan(0.6))
    reports.note_report(TARGETS[0], LoadReport(1, 0, 4, 3.0), 1, now)
    assert_that(reports.stretch(TARGETS[0], now), GreaterThan(1.7))


@pytest.mark.parametrize('say', [at_random, inverse, always_slow, missing])
def test_reports_that_runs_deny_are_not_used(reports, say):
    """Guards against a target that is judged by what it says of itself."""
    now = play(reports, say)
    for target in TARGETS:
        assert_that(abs(reports.stretch(target, now) - 1), LessThan(0.15))


@pytest.mark.parametrize('say', [at_random, inverse])
def test_one_liar_among_targets_that_report_truly(reports, say):
    play(reports, truthful, liars={TARGETS[0]: say})
    assert_that(reports.trust(TARGETS[0]), LessThan(0.25))
    assert_that(reports.trust(TARGETS[1]), GreaterThan(0.5))


def test_a_report_counts_less_as_it_ages(reports):
    now = play(reports, truthful)
    reports.note_report(TARGETS[0], LoadReport(1, 0, 4, 3.0), 1, now)
    ages = (0, REPORT_LIFE_S / 2, REPORT_LIFE_S, 60)
    excess = [reports.stretch(TARGETS[0], now + age) - 1 for age in ages]
    assert_that(round(excess[1] / excess[0], 2), Equals(0.5))
    assert_that(excess[2:], Equals([0, 0]))


def test_without_reports_nothing_is_said(reports):
    reports.note_report(TARGETS[0], None, 1, 0)
    reports.note_run(TARGETS[0], reports.prediction(TARGETS[0], 1), 2.0)
    assert_that(reports.stretch(TARGETS[0], 1), Equals(1))
    assert_that(reports.targets, Equals({}))
