import pytest

from laburnumyard.core.ids import TargetId
from laburnumyard.core.shards import (
    Grant,
    Reply,
    ShardManager,
    ShardSettings,
)
from laburnumyard.core.target_directory import TargetLife

SETTINGS = ShardSettings(hold_s=4, renew_after_s=1)


def life(name, started=1):
    return TargetLife(TargetId(name), started)


def lives(*names):
    return {TargetId(name): life(name) for name in names}


def answer_all(manager, now, reply=Reply.DONE):
    """Answer orders until none is due, and return all of them."""
    given = []
    orders = list(manager.due_orders(now))
    while orders:
        given.extend(orders)
        for order in orders:
            handover = '' if isinstance(order, Grant) else 'token'
            manager.note_reply(order, reply, handover, now)
        orders = list(manager.due_orders(now))
    return given


def save(manager, moves, revision, now):
    manager.preview(moves)
    manager.apply(moves, revision, now)


@pytest.fixture
def manager():
    """Return a manager of two targets that hold all keys."""
    dealt = ShardManager(SETTINGS)
    moves = dealt.plan(lives('a', 'b'), {}, 0)
    save(dealt, moves, 7, 0)
    answer_all(dealt, 0)
    return dealt
