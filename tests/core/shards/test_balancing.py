"""Balancing of keys over many targets, in virtual time without a network.

Each test is named after the pattern that it plays.
"""

from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, GreaterThan, LessThan

from laburnumyard.core.ids import ShardKey, TargetId
from laburnumyard.core.shards import MAX_SHARD_KEY, ShardManager, ShardSettings
from tests.core.shards.conftest import answer_all, life, save

FLEET = tuple(f'target-{number:03d}' for number in range(118))
ROUND_S = 0.15
SLOTS = 3.0
HOT_SHARE = 0.35


class Fleet:
    """A manager whose orders are answered at once."""

    def __init__(self, names):
        self.manager = ShardManager(ShardSettings())
        self.names = list(names)
        self.now = float(0)
        self.revision = 0
        self.moved_keys = 0

    def balance(self):
        lives = {TargetId(name): life(name) for name in self.names}
        capacities = dict.fromkeys(lives, SLOTS)
        moves = self.manager.plan(lives, capacities, self.now)
        self.moved_keys += sum(
            move.piece.last - move.piece.first + 1
            for move in moves
            if move.piece.token
        )
        if moves:
            self.revision += 1
            save(self.manager, moves, self.revision, self.now)
        answer_all(self.manager, self.now)
        self.now += ROUND_S

    def play(self, random, rate, seconds, work_s, draw_key):
        """Balance while requests arrive."""
        end = self.now + seconds
        while self.now < end:
            for _ in range(round(rate * ROUND_S)):
                self.manager.note_arrival(draw_key(random), work_s, self.now)
            self.balance()

    def keys_of(self, name):
        return sum(
            piece.last - piece.first + 1
            for piece in self.manager.pieces
            if piece.holder.target == name
        )


def any_key(random):
    return ShardKey(random.randrange(MAX_SHARD_KEY + 1))


def test_targets_that_trickle_in_before_traffic_get_their_share():
    """75 of 118 targets got no request on a calm day of the large site."""
    fleet = Fleet(FLEET[:40])
    for joined in range(40, len(FLEET), 6):
        fleet.names = list(FLEET[:joined])
        fleet.balance()
    fleet.names = list(FLEET)
    for _ in range(20):
        fleet.balance()
    least = min(map(fleet.keys_of, FLEET))
    assert_that(least, GreaterThan(0.2 * MAX_SHARD_KEY / len(FLEET)))


def test_a_target_that_returns_during_traffic_gets_keys():
    fleet = Fleet(FLEET[:-1])
    random = Random(3)
    fleet.play(random, 300, 4, 0.5, any_key)
    fleet.names = list(FLEET)
    fleet.play(random, 300, 2, 0.5, any_key)
    assert_that(fleet.keys_of(FLEET[-1]), GreaterThan(0))


def test_a_hot_spot_that_moves_twice_is_spread_over_targets():
    fleet = Fleet(FLEET)
    random = Random(5)
    for start in (1000, 30_000, 55_000):

        def hot_key(random, start=start):
            if random.random() < HOT_SHARE:
                return ShardKey(start + random.randrange(200))
            return any_key(random)

        fleet.play(random, 300, 3, 0.5, hot_key)
        hot_holders = {
            piece.holder.target
            for piece in fleet.manager.pieces
            if piece.last >= start and piece.first < start + 200
        }
        # The hot keys make up the work of a third of the targets' slots.
        assert_that(len(hot_holders), GreaterThan(15))


def test_a_target_whose_pieces_cannot_move_does_not_end_the_round():
    """Relief used to end at the first target without a movable piece."""
    fleet = Fleet(FLEET[:9])
    fleet.balance()
    manager = fleet.manager
    stuck, busy = FLEET[0], FLEET[1]
    fleet.now = 5.0
    for piece in manager.pieces:
        count = 4 if piece.holder.target == busy else 1
        for step in range(count):
            key = ShardKey(piece.first + step)
            manager.note_arrival(key, 0.05, fleet.now)
        piece.held_until = 10.0
        piece.renew_at = 10.0
    hot = next(
        piece for piece in manager.pieces if piece.holder.target == stuck
    )
    for _ in range(60):
        manager.note_arrival(hot.last, 0.05, fleet.now)
    lives = {TargetId(name): life(name) for name in fleet.names}
    moves = manager.plan(lives, dict.fromkeys(lives, SLOTS), fleet.now)
    givers = {move.piece.holder.target for move in moves}
    assert_that(givers, Contains(busy))


@pytest.mark.parametrize(
    ('targets', 'rate', 'window_s'), [(9, 105, 0.5), (118, 300, 1.6)]
)
def test_the_window_grows_with_the_targets_that_share_the_load(
    targets, rate, window_s
):
    """One request in half a second says nothing about the load of a target."""
    fleet = Fleet(FLEET[:targets])
    fleet.play(Random(1), rate, 3, 0.1, any_key)
    window = fleet.manager.load.window(targets)
    assert_that(abs(window - window_s), LessThan(0.15))
