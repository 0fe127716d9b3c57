"""Targets without fencing, whose grants a guard daemon holds."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan, Not

from laburnumyard.core import ownership
from tests.core.ownership.fleet import DATA_CENTRES

DATA_CENTRE = DATA_CENTRES[0]
SERVED_AGAIN_S = 2
LONGEST_DEADLINE_S = 30
SLOW_CALL_S = 0.4
SEEDS = range(1, 7)
HANDED_OVER_S = 0.1


@pytest.fixture
def guarded(make_scene):
    """A fleet of targets without fencing."""
    return make_scene(1, target_kind=ownership.GuardedTarget)


def guard_of(scene):
    return scene.fleet.daemons[scene.fleet.head.guards['target-0']]


def test_a_guard_is_in_the_data_centre_of_its_target(guarded):
    assert_that(guard_of(guarded).data_centre, Equals(DATA_CENTRE))
    guarded.fleet.run(10)
    assert_that(guarded.observer.worst, Equals(0))


@pytest.mark.cell(step='renew', fault='kill')
def test_a_lost_guard_is_replaced_and_the_owner_stays(guarded):
    before = guarded.fleet.owners
    lost = guard_of(guarded)
    lost.kill()
    guarded.fleet.run(5)
    assert_that(guarded.observer.worst, LessThan(SERVED_AGAIN_S))
    assert_that(guard_of(guarded).name, Not(Equals(lost.name)))
    assert_that(guarded.fleet.owners, Equals(before))


@pytest.mark.parametrize('seed', SEEDS)
def test_a_lost_guard_and_a_slow_store(make_scene, seed):
    scene = make_scene(seed, target_kind=ownership.GuardedTarget)
    scene.fleet.store.delay = SLOW_CALL_S
    # Seeds also vary the time of the loss between two renewals.
    scene.fleet.run(1 + seed / 30)
    guard_of(scene).kill()
    scene.fleet.run(5)
    assert_that(scene.observer.worst, LessThan(SERVED_AGAIN_S))


def test_a_next_guard_restarted_since_it_was_met_is_met_anew(guarded):
    fleet = guarded.fleet
    fleet.store.delay = SLOW_CALL_S
    lost = guard_of(guarded)
    lost.kill()
    # The swap is in progress, and the next guard has been sealed.
    fleet.run(1.5)
    near = [
        one for one in fleet.daemons.values() if one.data_centre == DATA_CENTRE
    ]
    other = next(one for one in near if one is not lost)
    assert_that(other.guards['target-0'].holder.term, GreaterThan(0))
    other.kill()
    other.start()
    fleet.run(5)
    guarded.observer.restart()
    fleet.run(2)
    assert_that(guard_of(guarded).name, Equals(other.name))
    assert_that(guarded.observer.worst, Equals(0))


@pytest.mark.cell(step='renew', fault='pause')
def test_a_guard_that_slept_holds_nothing(guarded):
    sleeper = guard_of(guarded)
    sleeper.pause()
    guarded.fleet.run(5)
    sleeper.resume()
    held = sleeper.guards['target-0'].holder
    assert_that(held.live_ranges(sleeper.clock), Equals(()))
    guarded.fleet.run(5)


def test_a_leaving_target_is_emptied(guarded):
    guarded.fleet.feed_all(ownership.TargetDraining('target-0'))
    guarded.fleet.run(3)
    assert_that('target-0' in guarded.fleet.owners, Equals(False))
    assert_that(guarded.observer.worst, LessThan(0.1))


def test_a_target_that_is_down_is_emptied_when_its_work_has_ended(guarded):
    target = guarded.fleet.targets['target-0']
    target.busy = 1
    guarded.fleet.feed_all(ownership.TargetDown('target-0'))
    guarded.fleet.run(5)
    assert_that('target-0' in guarded.fleet.owners, Equals(True))
    target.busy = 0
    guarded.fleet.run(1)
    assert_that('target-0' in guarded.fleet.owners, Equals(False))


def test_a_lost_data_centre_waits_for_the_longest_deadline(guarded):
    fleet = guarded.fleet
    for process in (*fleet.targets.values(), *fleet.daemons.values()):
        if process.data_centre == DATA_CENTRE:
            process.kill()
    fleet.run(LONGEST_DEADLINE_S)
    assert_that('target-0' in fleet.owners, Equals(True))
    fleet.run(5)
    assert_that('target-0' in fleet.owners, Equals(False))


def test_work_of_a_former_guard_delays_a_move(guarded):
    fleet = guarded.fleet
    guard_of(guarded).kill()
    fleet.run(3)
    assert_that(fleet.head.settling, Equals(('target-0',)))
    fleet.feed_all(ownership.TargetDraining('target-0'))
    fleet.run(LONGEST_DEADLINE_S - 5)
    assert_that('target-0' in fleet.owners, Equals(True))
    fleet.run(10)
    assert_that('target-0' in fleet.owners, Equals(False))
    assert_that(fleet.head.settling, Equals(()))


@pytest.mark.parametrize('seed', SEEDS)
def test_a_guard_that_leaves_hands_over_before_it_stops(make_scene, seed):
    scene = make_scene(seed, target_kind=ownership.GuardedTarget)
    fleet = scene.fleet
    leaver = guard_of(scene)
    owners = fleet.owners
    fleet.run(seed / 30)
    fleet.leaving_daemons = frozenset((leaver.name,))
    fleet.run(1)
    leaver.kill()
    fleet.run(5)
    assert_that(scene.observer.worst, LessThan(HANDED_OVER_S))
    assert_that(guard_of(scene).name, Not(Equals(leaver.name)))
    assert_that(fleet.owners, Equals(owners))


@pytest.mark.cell(step='leave', fault='kill')
@pytest.mark.parametrize('died_s', [0.2, 0.21, 0.22, 0.23, 0.3])
def test_a_guard_that_dies_while_it_hands_over(guarded, died_s):
    leaver = guard_of(guarded)
    guarded.fleet.leaving_daemons = frozenset((leaver.name,))
    guarded.fleet.run(died_s)
    leaver.kill()
    guarded.fleet.run(5)
    assert_that(guarded.observer.worst, LessThan(SERVED_AGAIN_S))
    assert_that(guard_of(guarded).name, Not(Equals(leaver.name)))


@pytest.mark.cell(step='leave', fault='store-down')
def test_a_guard_that_leaves_while_the_store_is_down_stays_guard(guarded):
    leaver = guard_of(guarded)
    guarded.fleet.store.pause()
    guarded.fleet.run(3)
    guarded.fleet.leaving_daemons = frozenset((leaver.name,))
    guarded.fleet.run(5)
    assert_that(guard_of(guarded).name, Equals(leaver.name))
    assert_that(guarded.observer.worst, Equals(0))
