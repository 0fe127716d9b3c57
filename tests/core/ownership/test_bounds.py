"""Upper bounds on unavailability, each with a single fault."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from laburnumyard.core import ownership
from laburnumyard.schema._generated.settings import TimingSettings
from tests.core.ownership.faults import start_fault
from tests.core.ownership.fleet import DATA_CENTRES, Fleet
from tests.core.ownership.steps import begin_step
from tests.support.matrix import Fault, Step

HOUR_S = 3600
SERVED_AGAIN_S = 2
NO_NEW_WORK_S = 3
SEEDS = range(1, 7)
SLOW_CALL_S = 0.4


def test_a_calm_fleet_serves_every_key(make_scene):
    scene = make_scene(1)
    scene.fleet.run(30)
    assert_that(scene.observer.worst, Equals(0))
    assert_that(scene.observer.changes, Equals(0))


@pytest.mark.parametrize('seed', SEEDS)
def test_a_lost_target(make_scene, seed):
    scene = make_scene(seed)
    scene.fleet.targets['target-0'].kill()
    scene.fleet.run(5)
    assert_that(scene.observer.worst, LessThan(SERVED_AGAIN_S))


@pytest.mark.parametrize('names', [('target-0',), ('target-0', 'target-3')])
@pytest.mark.parametrize('seed', SEEDS)
def test_a_lost_target_and_a_slow_store(make_scene, seed, names):
    scene = make_scene(seed)
    fleet = scene.fleet
    fleet.store.delay = SLOW_CALL_S
    # Seeds also vary the time of the loss between two renewals.
    fleet.run(1 + seed / 30)
    for name in names:
        fleet.targets[name].kill()
    fleet.run(5)
    assert_that(scene.observer.worst, LessThan(SERVED_AGAIN_S))


@pytest.mark.cell(step='join', fault='kill')
def test_a_returned_target_may_take_ranges_again(make_scene):
    scene = make_scene(1)
    target = scene.fleet.targets['target-0']
    target.kill()
    scene.fleet.run(5)
    assert_that(scene.fleet.head.withdrawn, Equals(('target-0',)))
    target.start()
    scene.fleet.run(10)
    assert_that(scene.fleet.head.withdrawn, Equals(()))


@pytest.mark.cell(step='take-over', fault='target-freeze')
@pytest.mark.parametrize('seed', SEEDS)
def test_a_target_that_was_never_there(seed):
    fleet = Fleet(seed)
    fleet.targets['target-0'].kill()
    fleet.run(8)
    owners = ownership.ranges_by_target(fleet.acknowledged[-1].assignment)
    assert_that(owners.get('target-0', ()), Equals(()))


@pytest.mark.parametrize('seed', SEEDS)
def test_a_lost_manager(make_scene, seed):
    scene = make_scene(seed)
    scene.fleet.manager_of(DATA_CENTRES[0]).kill()
    scene.fleet.run(5)
    assert_that(scene.observer.worst, Equals(0))
    assert_that(scene.observer.changes, Equals(0))


@pytest.mark.cell(step='take-over', fault='kill')
@pytest.mark.parametrize('seed', SEEDS)
def test_a_manager_restarted_before_anybody_suspects_it(make_scene, seed):
    scene = make_scene(seed)
    # The manager must not be first in the rendezvous order, because that daemon
    # would take over anyway.
    begin_step(Step.TAKE_OVER, scene.fleet)
    scene.fleet.run(2)
    manager = scene.fleet.manager_of(DATA_CENTRES[0])
    manager.kill()
    scene.fleet.run(0.05)
    manager.start()
    scene.fleet.run(5)
    assert_that(scene.observer.worst, Equals(0))


@pytest.mark.cell(step='drain', fault='kill')
def test_a_target_stays_drained_when_all_daemons_restart(make_scene):
    scene = make_scene(1)
    fleet = scene.fleet
    fleet.feed_all(ownership.TargetDraining('target-0'))
    fleet.run(3)
    for daemon in fleet.daemons.values():
        daemon.kill()
        daemon.start()
    fleet.run(20)
    assert_that('target-0' in fleet.owners, Equals(False))
    assert_that(fleet.head.withdrawn, Equals(('target-0',)))
    fleet.feed_all(ownership.TargetDraining('target-0', draining=False))
    fleet.run(10)
    assert_that(fleet.head.withdrawn, Equals(()))


def test_a_leaving_manager(make_scene):
    scene = make_scene(1)
    leaver = scene.fleet.manager_of(DATA_CENTRES[0])
    leaver.leave()
    scene.fleet.run(5)
    assert_that(leaver.is_alive, Equals(False))
    assert_that(scene.observer.worst, Equals(0))
    assert_that(scene.observer.changes, Equals(0))


def test_a_store_that_is_down_for_an_hour(make_scene):
    # Rare heartbeats and samples only shorten the run; lapses are still
    # detected exactly.
    rare = TimingSettings(heartbeat_interval_s=1.5, suspect_after_s=4)
    scene = make_scene(1, timing=rare)
    scene.observer.interval = 1
    scene.fleet.store.is_down = True
    scene.fleet.run(HOUR_S)
    assert_that(scene.observer.worst, Equals(0))
    assert_that(scene.observer.lapses, Equals(0))
    assert_that(scene.observer.changes, Equals(0))


@pytest.mark.parametrize('seed', SEEDS)
def test_a_lost_data_centre(make_scene, seed):
    scene = make_scene(seed)
    fleet = scene.fleet
    for process in (*fleet.targets.values(), *fleet.daemons.values()):
        if process.data_centre == DATA_CENTRES[0]:
            process.kill()
    fleet.run(5)
    assert_that(scene.observer.worst, LessThan(SERVED_AGAIN_S))


@pytest.mark.parametrize('busy', [0, 3])
def test_a_leaving_target_gets_no_new_work(make_scene, busy):
    scene = make_scene(1)
    target = scene.fleet.targets['target-0']
    target.busy = busy
    scene.fleet.feed_all(ownership.TargetDraining('target-0'))
    scene.fleet.run(NO_NEW_WORK_S)
    held = target.holder.live_ranges(target.clock)
    assert_that(held, Equals(()))


def test_a_leaving_target_without_work_in_flight(make_scene):
    scene = make_scene(1)
    scene.fleet.feed_all(ownership.TargetDraining('target-0'))
    scene.fleet.run(NO_NEW_WORK_S)
    assert_that(scene.observer.worst, LessThan(0.1))
    assert_that('target-0' in scene.fleet.owners, Equals(False))


@pytest.mark.cell(step='move', fault='racing-operators')
def test_two_hints_for_one_range(make_scene):
    scene = make_scene(1)
    part = scene.fleet.owners['target-0'][0]
    for name in ('target-1', 'target-2', 'target-1'):
        scene.fleet.feed_all(ownership.MoveRequested(part, name))
    scene.fleet.run(5)
    assert_that(part in scene.fleet.owners['target-1'], Equals(True))
    assert_that(scene.observer.worst, LessThan(0.1))


@pytest.mark.cell(step='take-over', fault='store-down')
def test_a_manager_lost_in_an_outage_costs_only_its_scope(make_scene):
    scene = make_scene(1)
    fleet = scene.fleet
    start_fault(Fault.STORE_DOWN, fleet, DATA_CENTRES[0])
    fleet.manager_of(DATA_CENTRES[0]).kill()
    fleet.run(10)
    lapsed = {
        owner_of(fleet, probe)
        for probe, longest_gaps in scene.observer.longest_gaps.items()
        if longest_gaps
    }
    assert_that(lapsed <= _scopes_of_dead(fleet), Equals(True))
    scene.recover(5)
    fleet.run(1)
    assert_that(scene.observer.worst, Equals(0))


def owner_of(fleet, probe):
    """Return the data centre of the target that owns a probe."""
    for name, ranges in fleet.owners.items():
        if any(probe in part for part in ranges):
            return fleet.targets[name].data_centre
    return None


def _scopes_of_dead(fleet):
    return {
        data_centre
        for data_centre, scope in fleet.head.scopes.items()
        if not fleet.daemons[scope.manager].is_alive
    }


def test_the_hold_ends_the_authority_of_a_manager_without_the_store(
    make_scene,
):
    scene = make_scene(1, timing=TimingSettings(outage_hold_s=10))
    scene.fleet.store.is_down = True
    scene.fleet.run(15)
    held = [
        target.holder.live_ranges(target.clock)
        for target in scene.fleet.targets.values()
    ]
    assert_that(held, Equals([(), (), (), (), (), ()]))
