"""A reply ends only the grants that were made before its order."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.ids import ShardKey
from laburnumyard.core.shards import Move, Release
from tests.core.shards.conftest import life, save
from tests.core.shards.order_model import OrderModel

KEY = ShardKey(100)
SEEDS = range(60)


# OWNER: with a reply, a silence or an expiry taken for the end of a later
# grant, a key is granted while another target holds it.
@pytest.mark.parametrize('seed', SEEDS)
def test_no_order_of_messages_gives_a_key_two_holders(seed):
    model = OrderModel(seed)
    model.run(40)
    assert_that(model.violations, Equals([]))


# OWNER: a piece that came back to a target before its release was answered, and
# moved on before it was granted again, was taken for never held there.
def test_a_target_that_gets_a_piece_back_still_has_to_release_it(manager):
    piece = manager.piece_of(KEY)
    assert_that(piece.holder, Equals(life('a')))
    for revision, name in ((9, 'b'), (10, 'a'), (11, 'b')):
        save(manager, [Move(piece, life(name))], revision, 1.0)
    orders = [
        (type(order), order.life) for order in manager.next_order(piece, 1.0)
    ]
    assert_that(orders, Equals([(Release, life('a'))]))
