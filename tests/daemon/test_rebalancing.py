from types import SimpleNamespace

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from laburnumyard.core import ownership
from laburnumyard.core.key_hashing import HASH_SPACE, HashRange
from laburnumyard.core.routing_table import RoutingTable
from laburnumyard.daemon import _rebalancing as rebalancing
from laburnumyard.daemon._load_meter import LoadMeter

SERVICE = 'catalogue'
TARGETS = ('c1', 'c2')


def plan_of(ranges):
    kinds = {name: ownership.FencedTarget('lima-1') for name in TARGETS}
    span = ownership.KeyRangePlan(HashRange(0, HASH_SPACE), TARGETS)
    each = ranges // len(TARGETS)
    return ownership.ServicePlan(SERVICE, (span,), kinds, each)


@pytest.fixture
def make_rebalancer(monkeypatch):
    """Return a function that builds a rebalancer for a number of ranges."""
    monkeypatch.setattr(rebalancing, 'STEP_PAUSE_S', 0)

    def build(ranges):
        plan = plan_of(ranges)
        assignment = ownership.initial_assignment(plan)
        head = ownership.Head(1, 'c', ())
        view = SimpleNamespace(
            name='vm-1',
            members=SimpleNamespace(live=tuple),
            configuration=SimpleNamespace(services=(SERVICE,)),
            snapshots={SERVICE: ownership.Snapshot(head, assignment, 1)},
            is_leaving=False,
        )
        ownership_runner = SimpleNamespace(plan=lambda service: plan)
        relay = SimpleNamespace(forward_proposal=lambda service, proposal: True)
        meter = LoadMeter()
        return rebalancing.Rebalancer(
            view, meter, ownership_runner, relay, pool=None
        )

    return build


def meter_one_run(rebalancer):
    assignment = rebalancer.view.snapshots[SERVICE].assignment
    rebalancer.meter.record(RoutingTable(assignment, 1), 1, 0.01)


@pytest.mark.parametrize(
    ('ranges', 'reported'),
    [
        (rebalancing.RANGES_PER_INTERVAL, [1, 2, 3, 4, 5, 6]),
        (3 * rebalancing.RANGES_PER_INTERVAL, [3, 6]),
    ],
)
def test_a_large_service_is_reported_rarely(make_rebalancer, ranges, reported):
    rebalancer = make_rebalancer(ranges)
    seen = []
    for number in range(1, 7):
        meter_one_run(rebalancer)
        rebalancer.report(number)
        if not rebalancer.meter.ranges:
            seen.append(number)
    assert_that(seen, Equals(reported))


@pytest.mark.parametrize('is_leaving', [False, True])
def test_a_round_goes_on_in_steps_while_it_is_wanted(
    make_rebalancer, is_leaving
):
    rebalancer = make_rebalancer(4 * rebalancing.RANGES_PER_INTERVAL)
    service = rebalancer.services_to_plan(4)[0]
    planning = rebalancer.begin_round(service)
    planning.advance(1)
    assert_that(planning.is_done, Equals(False))
    rebalancer.view.is_leaving = is_leaving
    anyio.run(rebalancer.run_round, service, planning)
    assert_that(planning.is_done, Equals(not is_leaving))


def test_a_round_that_goes_on_is_not_begun_again(make_rebalancer):
    rebalancer = make_rebalancer(2)
    rebalancer.active_rounds.add(SERVICE)
    assert_that(rebalancer.services_to_plan(1), Equals([]))


def test_a_planner_that_is_replaced_forgets(make_rebalancer):
    rebalancer = make_rebalancer(2)
    rebalancer.services_to_plan(1)
    assert_that(len(rebalancer.planners), GreaterThan(0))
    rebalancer.view.members.live = lambda: [SimpleNamespace(daemon='vm-2')]
    assert_that(rebalancer.services_to_plan(2), Equals([]))
    assert_that(rebalancer.planners, Equals({}))
