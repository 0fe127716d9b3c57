"""Adapting an assignment to new configurations."""

from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from laburnumyard.core import ownership
from laburnumyard.core.key_hashing import HASH_SPACE, HashRange, covers
from tests.core.ownership.fleet import WHOLE

# Not an edge of a range of the initial assignment.
EDGE = HASH_SPACE // 5


@pytest.fixture
def scene(make_scene):
    return make_scene(1)


def configure(scene, *key_ranges):
    """Apply a configuration in all daemons."""
    plan = replace(scene.fleet.plan, key_ranges=key_ranges)
    scene.fleet.plan = plan
    scene.fleet.feed_all(ownership.PlanChanged(plan))
    scene.fleet.run(20)


def ranges_of(scene, name):
    return scene.fleet.owners.get(name, ())


def test_key_ranges_divide_the_targets(scene):
    names = tuple(scene.fleet.targets)
    low = ownership.KeyRangePlan(HashRange(0, EDGE), names[:3])
    high = ownership.KeyRangePlan(HashRange(EDGE, HASH_SPACE), names[3:])
    configure(scene, low, high)
    for name in names[:3]:
        assert_that(max(ranges_of(scene, name)).stop, LessThan(EDGE + 1))
    for name in names[3:]:
        assert_that(min(ranges_of(scene, name)).start + 1, GreaterThan(EDGE))
    assert_that(scene.observer.worst, LessThan(0.1))


def test_a_hole_gets_an_owner(scene):
    names = tuple(scene.fleet.targets)
    low = ownership.KeyRangePlan(HashRange(0, EDGE), names)
    configure(scene, low)
    configure(scene, ownership.KeyRangePlan(WHOLE, names))
    parts = [part for name in names for part in ranges_of(scene, name)]
    assert_that(covers(WHOLE, parts), Equals(True))


def test_a_configuration_that_changes_nothing_costs_no_write(scene):
    before = scene.fleet.store.writes
    configure(scene, *scene.fleet.plan.key_ranges)
    assert_that(scene.fleet.store.writes, Equals(before))
