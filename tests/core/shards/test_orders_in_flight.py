"""Orders that are still under way when the assignment or the holder changes."""

from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.ids import ShardKey
from laburnumyard.core.shards import (
    Assignment,
    Grant,
    Move,
    Phase,
    Release,
    Reply,
    is_outdated,
)
from tests.core.shards.conftest import SETTINGS, life, lives, save

KEY = ShardKey(100)


@pytest.fixture
def renewal(manager):
    """Return a renewal by 'a' that was sent at 2 s and is not answered yet."""
    grant = next(manager.next_order(manager.piece_of(KEY), 2.0))
    manager.unanswered.add(grant)
    return grant


def move_to_b(manager, now):
    piece = manager.piece_of(KEY)
    save(manager, [Move(piece, life('b'))], 9, now)
    return piece


def read_back(manager):
    return Assignment(8, tuple(map(replace, manager.pieces)))


def orders_of(manager, piece, now):
    return [
        (type(order), order.life.target)
        for order in manager.next_order(piece, now)
    ]


def test_no_order_follows_for_a_piece_of_a_replaced_assignment(manager):
    """Its holder is outdated, and a grant would make a second holder."""
    replaced = manager.piece_of(KEY)
    manager.take_over(read_back(manager), 5.0)
    assert_that(orders_of(manager, replaced, 20.0), Equals([]))
    assert_that(len(orders_of(manager, manager.piece_of(KEY), 20.0)), Equals(1))


def test_a_holder_is_waited_for_while_a_grant_to_it_is_unanswered(
    manager, renewal
):
    """A sender that was frozen may write a grant long after building it."""
    piece = move_to_b(manager, 3.0)
    release = next(manager.next_order(piece, 3.0))
    manager.note_reply(release, Reply.UNKNOWN, '', 5.5)
    much_later = 3.0 + 2 * SETTINGS.max_hold_s
    assert_that(orders_of(manager, piece, much_later), Equals([(Release, 'a')]))
    piece.has_order_in_flight = False
    manager.note_reply(renewal, Reply.UNKNOWN, '', much_later)
    until = much_later + SETTINGS.hold_s * (1 + SETTINGS.clock_slack)
    assert_that(
        orders_of(manager, piece, until - 0.1), Equals([(Release, 'a')])
    )
    piece.has_order_in_flight = False
    assert_that(orders_of(manager, piece, until + 0.1), Equals([(Grant, 'b')]))


def test_a_late_reply_extends_the_hold_of_the_present_holder(manager, renewal):
    piece = manager.piece_of(KEY)
    manager.note_reply(renewal, Reply.DONE, '', 6.0)
    held = SETTINGS.hold_s * (1 + SETTINGS.clock_slack)
    assert_that(piece.may_hold_until >= 6.0 + held, Equals(True))


def test_a_grant_of_a_replaced_assignment_still_counts(manager, renewal):
    """The target holds the keys whichever piece the grant was built from."""
    manager.take_over(read_back(manager), 3.0)
    manager.note_predecessor_gone(3.0)
    manager.note_reply(renewal, Reply.UNKNOWN, '', 8.0)
    held = SETTINGS.hold_s * (1 + SETTINGS.clock_slack)
    piece = manager.piece_of(KEY)
    assert_that(piece.may_hold_until >= 8.0 + held, Equals(True))


def test_a_grant_that_a_target_rejected_extends_no_hold(manager, renewal):
    piece = manager.piece_of(KEY)
    before = piece.may_hold_until
    manager.note_reply(renewal, Reply.FENCED, '', 6.0)
    assert_that(piece.may_hold_until, Equals(before))


def test_a_discarded_grant_is_not_waited_for(manager, renewal):
    piece = move_to_b(manager, 3.0)
    manager.unanswered.discard(renewal)
    later = 3.0 + 2 * SETTINGS.max_hold_s
    assert_that(orders_of(manager, piece, later), Equals([(Grant, 'b')]))


def test_an_order_of_an_earlier_move_is_outdated(manager):
    piece = manager.piece_of(KEY)
    grant = next(manager.next_order(piece, 2.0))
    assert_that(is_outdated(grant), Equals(False))
    move_to_b(manager, 3.0)
    assert_that(is_outdated(grant), Equals(True))
    assert_that(piece.phase, Equals(Phase.RELEASING))


def test_a_dead_holder_is_not_waited_for_despite_an_unanswered_grant(
    manager, renewal
):
    piece = move_to_b(manager, 3.0)
    manager.note_dead(life('a'))
    manager.plan(lives('b'), {}, 3.0)
    assert_that(orders_of(manager, piece, 3.0), Equals([(Grant, 'b')]))


def test_a_late_reply_counts_for_the_parts_of_a_split_piece(manager, renewal):
    piece = manager.piece_of(KEY)
    middle = ShardKey((piece.first + piece.last) // 2)
    upper = piece.split(middle)
    manager.pieces.insert(1, upper)
    others = [each.may_hold_until for each in manager.pieces[2:]]
    manager.note_reply(renewal, Reply.DONE, '', 6.0)
    held = SETTINGS.hold_s * (1 + SETTINGS.clock_slack)
    for part in (piece, upper):
        assert_that(part.may_hold_until >= 6.0 + held, Equals(True))
    assert_that(
        [each.may_hold_until for each in manager.pieces[2:]], Equals(others)
    )
