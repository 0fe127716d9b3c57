"""Exclusive ownership of shard keys: grants, moves and load balancing."""

from laburnumyard.core.shards._balancer import Balancer
from laburnumyard.core.shards._key_load import KeyLoad
from laburnumyard.core.shards._manager import ShardManager
from laburnumyard.core.shards._pieces import (
    MAX_SHARD_KEY,
    Assignment,
    FormerHolder,
    Grant,
    Move,
    Order,
    Phase,
    Piece,
    RangeRelease,
    Release,
    Reply,
    TargetOrder,
    is_outdated,
)
from laburnumyard.core.shards._settings import ShardSettings

__all__ = (
    'MAX_SHARD_KEY',
    'Assignment',
    'Balancer',
    'FormerHolder',
    'Grant',
    'KeyLoad',
    'Move',
    'Order',
    'Phase',
    'Piece',
    'RangeRelease',
    'Release',
    'Reply',
    'ShardManager',
    'ShardSettings',
    'TargetOrder',
    'is_outdated',
)
