from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan


def test_a_calm_fleet_serves_every_key(make_scene):
    scene = make_scene(1)
    scene.fleet.run(20)
    assert_that(scene.observer.worst, Equals(0))
    assert_that(scene.observer.changes, Equals(0))


def test_ranges_of_a_lost_target_are_served_again(make_scene):
    scene = make_scene(1)
    scene.fleet.targets['target-0'].kill()
    scene.fleet.run(5)
    assert_that(scene.observer.worst, LessThan(2))


def test_a_returned_target_may_take_ranges_again(make_scene):
    scene = make_scene(1)
    target = scene.fleet.targets['target-0']
    target.kill()
    scene.fleet.run(5)
    assert_that(scene.fleet.head.withdrawn, Equals(('target-0',)))
    target.start()
    scene.fleet.run(10)
    assert_that(scene.fleet.head.withdrawn, Equals(()))
