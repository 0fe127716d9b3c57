"""Targets that are leaving, by their own report or the VM list."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from laburnumyard.core import ownership
from laburnumyard.core.leaving import LeavingTargets, Report, Reporter

NO_NEW_WORK_S = 3
INTERVAL_S = 0.2
NAME = 'target-0'
KINDS = (ownership.FencedTarget, ownership.GuardedTarget)


def report_leaving(fleet, is_leaving):
    fleet.feed_all(ownership.TargetLeaving(NAME, is_leaving))


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('seed', range(1, 4))
def test_it_gets_no_new_work_and_its_keys_have_another_owner(
    make_scene,
    kind,
    seed,
):
    scene = make_scene(seed, target_kind=kind)
    report_leaving(scene.fleet, is_leaving=True)
    scene.fleet.run(NO_NEW_WORK_S)
    assert_that(NAME in scene.fleet.owners, Equals(False))
    assert_that(scene.observer.worst, LessThan(0.1))


@pytest.mark.cell(step='leave', fault='target-freeze')
def test_one_that_freezes_meanwhile_holds_nothing_when_it_returns(make_scene):
    scene = make_scene(1)
    target = scene.fleet.targets[NAME]
    target.busy = 1
    report_leaving(scene.fleet, is_leaving=True)
    scene.fleet.run(1)
    target.pause()
    scene.fleet.run(NO_NEW_WORK_S)
    target.resume()
    scene.fleet.run(1)
    held = target.holder.live_ranges(target.clock)
    assert_that(held, Equals(()))
    assert_that(NAME in scene.fleet.owners, Equals(False))


@pytest.mark.cell(step='leave', fault='kill')
def test_its_new_process_is_used_again(make_scene):
    scene = make_scene(1)
    fleet = scene.fleet
    report_leaving(fleet, is_leaving=True)
    fleet.run(NO_NEW_WORK_S)
    fleet.targets[NAME].kill()
    fleet.run(2)
    fleet.targets[NAME].start()
    fleet.run(10)
    assert_that(fleet.head.withdrawn, Equals((NAME,)))
    report_leaving(fleet, is_leaving=False)
    fleet.run(10)
    assert_that(fleet.head.withdrawn, Equals(()))


def test_an_operators_order_outlasts_what_the_target_says(make_scene):
    scene = make_scene(1)
    fleet = scene.fleet
    fleet.feed_all(ownership.TargetDraining(NAME))
    report_leaving(fleet, is_leaving=True)
    fleet.run(NO_NEW_WORK_S)
    report_leaving(fleet, is_leaving=False)
    fleet.run(10)
    assert_that(fleet.head.draining, Equals((NAME,)))
    assert_that(fleet.head.withdrawn, Equals((NAME,)))


def test_what_the_target_says_outlasts_an_operators_order(make_scene):
    scene = make_scene(1)
    fleet = scene.fleet
    report_leaving(fleet, is_leaving=True)
    fleet.feed_all(ownership.TargetDraining(NAME, draining=False))
    fleet.run(10)
    assert_that(fleet.head.draining, Equals(()))
    assert_that(fleet.head.withdrawn, Equals((NAME,)))


def test_one_that_flaps_costs_no_more_changes_than_one_that_leaves(make_scene):
    scene = make_scene(1)
    fleet = scene.fleet
    reports = LeavingTargets()
    before = fleet.head.version
    for step in range(100):
        report = Report(NAME, Reporter.TARGET, is_leaving=step % 2 == 0)
        decision = reports.take(report, step * INTERVAL_S)
        if decision:
            report_leaving(fleet, decision.is_leaving)
        fleet.run(INTERVAL_S)
    steady = make_scene(1).fleet
    report_leaving(steady, is_leaving=True)
    steady.run(100 * INTERVAL_S)
    assert_that(fleet.head.version, Equals(steady.head.version))
    assert_that(fleet.head.version - before, LessThan(10))
