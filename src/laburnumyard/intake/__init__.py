"""Reads requests of callers within bounds on memory and processor time."""

from laburnumyard.intake._allocator import map_large_buffers
from laburnumyard.intake._parsing_queue import (
    CALLS_AT_ONCE,
    ParsingConnection,
    ParsingQueue,
)
from laburnumyard.intake._reading_cost import ParsingStoppedError, ReadingCost
from laburnumyard.intake._receive_buffer import AT_ONCE_BYTES, ReceiveBuffer

__all__ = (
    'AT_ONCE_BYTES',
    'CALLS_AT_ONCE',
    'ParsingConnection',
    'ParsingQueue',
    'ParsingStoppedError',
    'ReadingCost',
    'ReceiveBuffer',
    'map_large_buffers',
)
