"""Hints of the planner and the platform to a lease manager."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from laburnumyard.core import ownership
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.schema._generated.settings import TimingSettings
from tests.core.ownership.fleet import DATA_CENTRES

DATA_CENTRE = DATA_CENTRES[0]


def middle_of(part):
    centre = (part.start + part.stop) // 2
    return HashRange(centre, centre + 1)


def test_a_hot_key_gets_a_range_of_its_own_and_is_merged_again(make_scene):
    scene = make_scene(1)
    fleet = scene.fleet
    whole = fleet.owners['target-0'][0]
    key = middle_of(whole)
    fleet.feed_all(ownership.MoveRequested(key, 'target-1'))
    fleet.run(3)
    assert_that(key in fleet.owners['target-1'], Equals(True))
    fleet.feed_all(ownership.MoveRequested(key, 'target-0'))
    fleet.run(3)
    fleet.feed_all(ownership.MergeRequested(whole))
    fleet.run(3)
    assert_that(whole in fleet.owners['target-0'], Equals(True))
    assert_that(scene.observer.worst, LessThan(0.1))


def test_work_in_flight_that_takes_long_stops_a_move(make_scene):
    scene = make_scene(1)
    fleet = scene.fleet
    before = fleet.owners
    fleet.targets['target-0'].busy = 1
    part = before['target-0'][0]
    fleet.feed_all(ownership.MoveRequested(part, 'target-1'))
    fleet.run(5)
    assert_that(fleet.owners, Equals(before))
    assert_that(scene.observer.worst, LessThan(0.5))


def test_a_wish_for_an_unknown_target_is_dropped(make_scene):
    scene = make_scene(1)
    part = scene.fleet.owners['target-0'][0]
    scene.fleet.feed_all(ownership.MoveRequested(part, 'target-99'))
    scene.fleet.run(5)
    assert_that(scene.observer.changes, Equals(0))


@pytest.mark.parametrize(
    ('is_stopped', 'is_moved'), [(True, True), (False, False)]
)
def test_a_target_off_the_list_is_trusted_to_have_stopped_only_if_so_set(
    make_scene,
    is_stopped,
    is_moved,
):
    timing = TimingSettings(removal_means_stopped=is_stopped)
    scene = make_scene(1, timing=timing)
    fleet = scene.fleet
    fleet.manager_of(DATA_CENTRE).kill()
    fleet.targets['target-0'].kill()
    fleet.run(5)
    assert_that('target-0' in fleet.owners, Equals(True))
    fleet.feed_all(ownership.TargetGone('target-0'))
    fleet.run(1)
    assert_that('target-0' not in fleet.owners, Equals(is_moved))


def test_a_target_with_an_absurd_term_is_left_alone(make_scene):
    scene = make_scene(1)
    fleet = scene.fleet
    before = fleet.head.highest_term
    fleet.targets['target-0'].holder.term = 1 << 62
    fleet.run(5)
    assert_that(fleet.head.highest_term, Equals(before))
    assert_that(scene.observer.worst, LessThan(2))


def test_a_term_that_only_a_target_knows_is_overtaken(make_scene):
    scene = make_scene(1)
    fleet = scene.fleet
    holder = fleet.targets['target-0'].holder
    holder.term += 5
    fleet.run(5)
    assert_that(fleet.head.scopes[DATA_CENTRE].term, Equals(holder.term))
    assert_that('target-0' in fleet.owners, Equals(True))
    assert_that(scene.observer.worst, LessThan(0.1))
