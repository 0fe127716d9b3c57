"""Random faults from fixed seeds; the observer detects faulty variants."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core import ownership
from laburnumyard.schema._generated.settings import TimingSettings
from tests.core.ownership import broken
from tests.core.ownership.conftest import build_scene
from tests.core.ownership.faults import isolate_manager
from tests.core.ownership.fleet import DATA_CENTRES
from tests.core.ownership.observer import InvariantViolation
from tests.core.ownership.random_faults import run_random_faults

DATA_CENTRE = DATA_CENTRES[0]
TIMING = TimingSettings(outage_hold_s=20)
# Seed 42: an answer to a message of an earlier term suppressed all later ones.
SEEDS = (*range(12), 42, 166)
# Seeds 19, 38, 71: the release of a target that no longer leaves was not
# cancelled.
GUARDED_SEEDS = (*range(4), 19, 38, 71)
MOST_DRAWS = 20


@pytest.mark.parametrize('seed', SEEDS)
def test_drawn_faults(seed):
    scene = run_random_faults(seed)
    assert_that(scene.observer.worst, Equals(0))
    assert_that(scene.fleet.head.withdrawn, Equals(()))


@pytest.mark.parametrize('seed', GUARDED_SEEDS)
def test_drawn_faults_with_guards(seed):
    scene = run_random_faults(seed, target_kind=ownership.GuardedTarget)
    assert_that(scene.observer.worst, Equals(0))


@pytest.mark.parametrize(
    ('seed', 'variant'),
    [
        (0, {'holder_class': broken.LifetimeFromArrivalHolder}),
        (3, {'holder_class': broken.AnyTermHolder}),
        (0, {'manager_class': broken.EarlyExpiryManager}),
        (0, {'manager_class': broken.AssumedSwapManager}),
        (23, {'manager_class': broken.UnacknowledgedReleaseManager}),
    ],
)
def test_drawn_faults_show_a_broken_variant(seed, variant):
    with pytest.raises(InvariantViolation):
        for later in range(seed, seed + MOST_DRAWS):
            run_random_faults(later, **variant)


def unsealed_target(manager_class):
    """Isolate a manager, the only daemon that can reach one target."""
    scene = build_scene(1, timing=TIMING, manager_class=manager_class)
    fleet = scene.fleet
    manager = fleet.manager_of(DATA_CENTRE)
    isolate_manager(fleet, DATA_CENTRE)
    for name in set(fleet.daemons) - {manager.name}:
        fleet.world.cut(name, 'target-0')
    fleet.run(5)
    return scene


@pytest.mark.cell(step='take-over', fault='cut')
def test_an_unsealed_target_keeps_its_ranges():
    scene = unsealed_target(ownership.LeaseManager)
    held = scene.fleet.targets['target-0'].holder
    assert_that(held.ranges, Equals(scene.fleet.owners['target-0']))
    assert_that(scene.observer.worst, Equals(0))


def test_moving_from_an_unsealed_target_is_caught():
    with pytest.raises(InvariantViolation, match='target-0'):
        unsealed_target(broken.NoInheritedWaitManager)


def restarted_target(manager_class):
    """Let a replaced manager reach a target restarted without its seal."""
    scene = build_scene(1, timing=TIMING, manager_class=manager_class)
    fleet = scene.fleet
    manager = fleet.manager_of(DATA_CENTRE)
    target = fleet.targets['target-0']
    isolate_manager(fleet, DATA_CENTRE)
    for name in ('target-0', 'target-3'):
        fleet.world.cut(manager.name, name)
    fleet.run(2)
    target.kill()
    fleet.run(3)
    for name in set(fleet.daemons) - {manager.name}:
        fleet.world.cut(name, target.name)
    target.start()
    fleet.world.heal(manager.name, target.name)
    fleet.run(3)
    return scene


@pytest.mark.cell(step='join', fault='cut')
def test_a_restarted_target_gets_nothing_from_a_stale_manager():
    scene = restarted_target(ownership.LeaseManager)
    assert_that(scene.fleet.targets['target-0'].holder.ranges, Equals(()))
    assert_that('target-0' in scene.fleet.owners, Equals(False))


def test_granting_to_a_restarted_target_unasked_is_caught():
    with pytest.raises(InvariantViolation, match='target-0'):
        restarted_target(broken.UnconfirmedGrantManager)


def returned_target(manager_class):
    """Let a lost target return during a swap whose answer is lost."""
    scene = build_scene(1, timing=TIMING, manager_class=manager_class)
    fleet = scene.fleet
    target = fleet.targets['target-0']
    target.pause()
    fleet.store.delay = 0.9
    fleet.store.loses_answers = True
    fleet.run(1.6)
    target.resume()
    fleet.run(4)
    return scene


@pytest.mark.cell(step='move', fault='target-freeze')
@pytest.mark.cell(step='move', fault='write-answer-lost')
def test_a_target_that_returns_while_its_ranges_move_gets_none():
    scene = returned_target(ownership.LeaseManager)
    assert_that(scene.fleet.targets['target-0'].holder.ranges, Equals(()))
    assert_that('target-0' in scene.fleet.owners, Equals(False))


def test_renewing_a_target_while_its_ranges_move_is_caught():
    with pytest.raises(InvariantViolation, match='target-0'):
        returned_target(broken.NoFreezeManager)
