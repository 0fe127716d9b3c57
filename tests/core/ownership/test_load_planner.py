from itertools import pairwise

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from laburnumyard.core import ownership
from laburnumyard.core.key_hashing import HASH_SPACE, HashRange
from laburnumyard.core.ownership._ranges import merged, reassigned
from laburnumyard.schema._generated.messages import LoadReport, RangeLoad

STEP_S = 5
MINUTE_S = 60
SLOTS = 3


class Service:
    """A simulated service that applies the planner's proposals at once."""

    def __init__(self) -> None:
        names = tuple(f'target-{number}' for number in range(4))
        span = ownership.KeyRangePlan(HashRange(0, HASH_SPACE), names)
        kinds = {
            name: ownership.FencedTarget('lima-1', slots=SLOTS)
            for name in names
        }
        self.plan = ownership.ServicePlan('orders', (span,), kinds, 4)
        self.assignment = ownership.initial_assignment(self.plan)
        self.first = self.assignment
        self.planner = ownership.LoadPlanner()
        self.withdrawn = ()
        self.now = 0
        self.moves = []
        # Busy slots of the evenly distributed load, and of single hashes.
        self.even = 4
        self.keys = {}

    def run(self, seconds):
        for _ in range(0, seconds, STEP_S):
            self.now += STEP_S
            self.planner.record(self.report())
            self.follow()

    def report(self):
        ranges = map(self.load, self.assignment.ranges)
        return LoadReport('orders', tuple(ranges))

    def load(self, owned):
        share = (owned.last + 1 - owned.start) / HASH_SPACE
        hot = {
            key: busy
            for key, busy in self.keys.items()
            if owned.start <= key <= owned.last
        }
        busy = self.even * share + sum(hot.values())
        key = max(hot, key=hot.get, default=owned.start)
        requests = int(busy * 1000)
        hot_requests = int(hot.get(key, 0) * 1000)
        busy_ms = int(busy * STEP_S * 1000)
        return RangeLoad(
            owned.start,
            owned.last,
            requests,
            busy_ms,
            key,
            hot_requests,
        )

    def follow(self):
        head = ownership.Head(1, 'c', (), withdrawn=self.withdrawn)
        snapshot = ownership.Snapshot(head, self.assignment, 1)
        for hint in self.planner.propose(snapshot, self.plan, self.now):
            if isinstance(hint, ownership.MoveRequested):
                self.moves.append(hint)
                owners = {hint.part: hint.to}
                self.assignment = reassigned(self.assignment, owners)
            else:
                self.merge(hint.span)

    def merge(self, span):
        self.assignment = merged(
            self.assignment,
            lambda left, right: (
                span.start <= left.start and right.last < span.stop
            ),
        )

    def busiest(self):
        busy = {}
        for owned in self.assignment.ranges:
            load = self.load(owned).busy_ms / STEP_S / 1000
            busy[owned.target] = busy.get(owned.target, 0) + load
        return max(busy.values())

    def owner(self, key):
        return ownership.owner_of(self.assignment, HashRange(key, key + 1))


@pytest.fixture
def service():
    return Service()


def is_whole(assignment):
    edges = [owned.start for owned in assignment.ranges]
    stops = [owned.last + 1 for owned in assignment.ranges]
    return edges[0] == 0 and edges[1:] == stops[:-1]


def test_an_even_load_moves_nothing(service):
    service.run(5 * MINUTE_S)
    assert_that(service.moves, Equals([]))


def test_a_small_unevenness_moves_nothing(service):
    service.keys = {7: 0.3}
    service.run(5 * MINUTE_S)
    assert_that(service.moves, Equals([]))


def test_hot_keys_of_one_target_are_spread(service):
    first = service.first.ranges[0]
    service.keys = {first.start + number: 0.6 for number in range(1, 6)}
    before = service.busiest()
    service.run(3 * MINUTE_S)
    assert_that(before, GreaterThan(3.9))
    assert_that(service.busiest(), LessThan(2.4))
    assert_that(is_whole(service.assignment), Equals(True))


def test_a_key_too_hot_to_spread_keeps_its_target(service):
    service.keys = {7: 2.9}
    owner = service.owner(7)
    service.run(3 * MINUTE_S)
    moved = {hint.part for hint in service.moves}
    assert_that(service.owner(7), Equals(owner))
    assert_that(len(moved), Equals(len(service.moves)))


def test_moves_stay_within_the_budget(service):
    service.keys = {7 + number: 0.5 for number in range(40)}
    service.run(MINUTE_S)
    settings = ownership.BalanceSettings()
    most = settings.move_burst + settings.moves_per_s * MINUTE_S
    assert_that(len(service.moves), LessThan(most + 1))


def test_cooled_keys_go_back_and_are_merged(service):
    first = service.first.ranges[0]
    service.keys = {first.start + number: 0.6 for number in range(1, 6)}
    service.run(3 * MINUTE_S)
    assert_that(len(service.assignment.ranges), GreaterThan(16))
    service.keys = {}
    service.run(10 * MINUTE_S)
    assert_that(len(service.assignment.ranges), Equals(16))
    assert_that(is_whole(service.assignment), Equals(True))


def test_a_cold_range_between_two_owners_does_not_move_to_and_fro(service):
    first = service.first.ranges[0]
    strangers = [
        name
        for name in service.plan.targets
        if name != service.first.ranges[0].target
    ]
    part = HashRange(first.start, first.start + 2)
    service.assignment = reassigned(service.assignment, {part: strangers[0]})
    middle = HashRange(part.stop, part.stop + 1)
    service.assignment = reassigned(service.assignment, {middle: strangers[1]})
    service.run(5 * MINUTE_S)
    assert_that(len(service.moves), LessThan(3))
    assert_that(service.assignment, Equals(service.first))


def test_a_new_target_is_ramped(service):
    service.withdrawn = ('target-3',)
    service.assignment = reassigned(
        service.assignment,
        {
            ownership.hash_range(owned): 'target-0'
            for owned in service.assignment.ranges
            if owned.target == 'target-3'
        },
    )
    service.even = 8
    service.run(MINUTE_S)
    service.withdrawn = ()
    counts = []
    for _ in range(8):
        service.run(STEP_S)
        owned = [part.target for part in service.assignment.ranges]
        counts.append(owned.count('target-3'))
    assert_that(counts[0], LessThan(2))
    assert_that(all(one <= two for one, two in pairwise(counts)), Equals(True))
    assert_that(counts[-1], GreaterThan(1))


def test_reports_that_make_no_sense_are_survived(service):
    strange = RangeLoad(HASH_SPACE - 1, 0, 0, 5, 0, 900)
    service.planner.record(LoadReport('orders', (strange, strange)))
    service.run(MINUTE_S)
    assert_that(service.moves, Equals([]))
