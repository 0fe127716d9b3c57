from itertools import pairwise

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.ids import FencingToken, ShardKey
from laburnumyard.core.shards import (
    MAX_SHARD_KEY,
    Assignment,
    FormerHolder,
    Grant,
    Move,
    Phase,
    Piece,
    Release,
    Reply,
    ShardManager,
)
from tests.core.shards.conftest import (
    SETTINGS,
    answer_all,
    life,
    lives,
    save,
)
from tests.support.sole import only

KEY = ShardKey(100)


def move_key(manager, to, revision, now):
    piece = manager.piece_of(KEY)
    save(manager, [Move(piece, to)], revision, now)
    return piece


def test_the_first_deal_covers_every_key_once(manager):
    edges = [(piece.first, piece.last) for piece in manager.pieces]
    assert_that(edges[0][0], Equals(0))
    assert_that(edges[-1][1], Equals(MAX_SHARD_KEY))
    for (_, last), (first, _) in pairwise(edges):
        assert_that(first, Equals(last + 1))


def test_the_fencing_token_is_the_revision_of_the_write(manager):
    tokens = {piece.token for piece in manager.pieces}
    assert_that(tokens, Equals({7}))


def test_a_moved_key_is_released_before_it_is_granted(manager):
    piece = move_key(manager, life('b'), 9, 1.0)
    assert_that(manager.owner(KEY, 1.0), Is(None))
    release = only(
        [order for order in manager.due_orders(1.0) if order.piece is piece]
    )
    assert_that(isinstance(release, Release), Is(True))
    assert_that(release.life, Equals(life('a')))
    assert_that(release.token, Equals(9))
    assert_that(list(manager.next_order(piece, 1.1)), Equals([]))
    manager.note_reply(release, Reply.DONE, 'handover', 1.2)
    grant = only(manager.next_order(piece, 1.2))
    assert_that(isinstance(grant, Grant), Is(True))
    assert_that(grant.handover, Equals('handover'))
    manager.note_reply(grant, Reply.DONE, '', 1.3)
    assert_that(manager.owner(KEY, 1.3), Equals('b'))


def test_a_silent_holder_keeps_its_keys_until_its_hold_is_over(manager):
    piece = move_key(manager, life('b'), 9, 1.0)
    release = next(manager.next_order(piece, 1.0))
    manager.note_reply(release, Reply.UNKNOWN, '', 3.0)
    # Granted at 0 for 4 s, plus 2 % for a slow clock and the network delay.
    assert_that(piece.phase, Is(Phase.RELEASING))
    assert_that(
        isinstance(next(manager.next_order(piece, 4.2)), Release), Is(True)
    )
    piece.has_order_in_flight = False
    assert_that(
        isinstance(next(manager.next_order(piece, 4.5)), Grant), Is(True)
    )


@pytest.mark.parametrize('reply', [Reply.GONE, Reply.DONE])
def test_proof_of_an_end_frees_keys_at_once(manager, reply):
    piece = move_key(manager, life('b'), 9, 1.0)
    release = next(manager.next_order(piece, 1.0))
    manager.note_reply(release, reply, '', 1.1)
    order = next(manager.next_order(piece, 1.3))
    assert_that(isinstance(order, Grant), Is(True))


def test_a_restarted_target_gets_a_higher_token(manager):
    piece = manager.piece_of(KEY)
    holder = piece.holder
    manager.note_dead(holder)
    again = {**lives('b'), holder.target: life(holder.target, started=2)}
    moves = manager.plan(again, {}, 1.0)
    save(manager, moves, 11, 1.0)
    assert_that(manager.piece_of(KEY).token, Equals(11))
    assert_that(manager.piece_of(KEY).former_holders, Equals(()))


def test_a_late_reply_to_an_earlier_order_changes_nothing(manager):
    piece = manager.piece_of(KEY)
    renewal = only(
        [order for order in manager.due_orders(2.0) if order.piece is piece]
    )
    move_key(manager, life('b'), 9, 2.0)
    manager.note_reply(renewal, Reply.DONE, '', 2.1)
    assert_that(piece.phase, Is(Phase.RELEASING))
    assert_that(manager.owner(KEY, 2.1), Is(None))


def test_an_unanswered_renewal_counts_as_delivered(manager):
    piece = manager.piece_of(KEY)
    renewal = only(
        [order for order in manager.due_orders(2.0) if order.piece is piece]
    )
    manager.note_reply(renewal, Reply.UNKNOWN, '', 2.5)
    move_key(manager, life('b'), 9, 2.5)
    assert_that(
        piece.former_holders[0].until, Equals(2.0 + SETTINGS.max_hold_s)
    )


def test_a_fenced_order_asks_for_the_stored_assignment(manager):
    piece = manager.piece_of(KEY)
    renewal = only(
        [order for order in manager.due_orders(2.0) if order.piece is piece]
    )
    reread = manager.note_reply(renewal, Reply.FENCED, '', 2.1)
    assert_that(reread, Is(True))
    assert_that(list(manager.next_order(piece, 2.2)), Equals([]))


def test_a_grant_that_runs_out_is_no_longer_served(manager):
    assert_that(manager.owner(KEY, 3.9), Equals(manager.destination(KEY)))
    assert_that(manager.owner(KEY, 4.0), Is(None))


def test_a_target_that_denies_a_key_is_granted_it_again(manager):
    owner = manager.owner(KEY, 0.5)
    manager.note_not_owner(KEY, owner)
    assert_that(manager.owner(KEY, 0.5), Is(None))
    orders = list(manager.due_orders(0.5))
    assert_that([order.life.target for order in orders], Equals([owner]))


@pytest.fixture
def stored():
    """Return an assignment stored during a move."""
    holder, former = life('b'), FormerHolder(life('a'), 0)
    return Assignment(
        20,
        (
            Piece(
                ShardKey(0),
                ShardKey(999),
                holder,
                FencingToken(20),
                former_holders=(former,),
            ),
            Piece(
                ShardKey(1000),
                ShardKey(MAX_SHARD_KEY),
                holder,
                FencingToken(5),
            ),
        ),
    )


def test_whoever_takes_over_finishes_the_move(stored):
    manager = ShardManager(SETTINGS)
    manager.take_over(stored, 0)
    given = answer_all(manager, 0)
    steps = [(type(order), order.life.target, order.token) for order in given]
    assert_that(
        steps,
        Equals([(Release, 'a', 20), (Grant, 'b', 5), (Grant, 'b', 20)]),
    )


def test_stored_holders_serve_before_the_first_renewal(manager, stored):
    """Otherwise every key would be refused while the store is slow."""
    manager.take_over(stored, 0)
    settled = [piece for piece in stored.pieces if not piece.former_holders]
    held = [manager.owner(piece.first, 0.1) for piece in settled]
    assert_that(held, Equals([piece.holder.target for piece in settled]))
    moving = [piece for piece in stored.pieces if piece.former_holders]
    assert_that(manager.owner(moving[0].first, 0.1), Equals(None))


def test_a_silent_holder_outlives_an_earlier_coordinator(stored):
    manager = ShardManager(SETTINGS)
    manager.take_over(stored, 0)
    longest = SETTINGS.outage_hold_s + SETTINGS.max_hold_s
    assert_that(manager.pieces[0].former_holders[0].until, Equals(longest))
    manager.note_predecessor_gone(1.0)
    until = manager.pieces[0].former_holders[0].until
    assert_that(until, Equals(1.0 + SETTINGS.max_hold_s))


def test_former_holders_that_gave_all_back_leave_the_store(manager):
    move_key(manager, life('b'), 9, 1.0)
    assert_that(manager.has_stale_former_holders(), Is(False))
    answer_all(manager, 1.0)
    assert_that(manager.has_stale_former_holders(), Is(True))
    save(manager, [], 10, 1.1)
    assert_that(manager.has_stale_former_holders(), Is(False))


def test_a_gateway_alone_knows_no_owner_in_the_middle_of_a_move(stored):
    manager = ShardManager(SETTINGS)
    manager.follow(stored, 0)
    assert_that(manager.owner(KEY, 0.1), Is(None))
    assert_that(manager.owner(ShardKey(2000), 0.1), Equals('b'))


def test_keys_of_a_leaving_target_move(manager):
    moves = manager.plan(lives('b'), {}, 1.0)
    assert_that({move.to for move in moves}, Equals({life('b')}))
    assert_that({move.piece.holder for move in moves}, Equals({life('a')}))


def test_nothing_is_granted_before_the_store_has_confirmed_it():
    manager = ShardManager(SETTINGS)
    manager.plan(lives('a', 'b'), {}, 0)
    assert_that(list(manager.due_orders(0)), Equals([]))
