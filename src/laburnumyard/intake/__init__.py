"""Reads requests of callers within bounds on memory and processor time."""

from laburnumyard.intake._allocator import map_large_buffers
from laburnumyard.intake._caller_listener import CallerListener, Work
from laburnumyard.intake._connection_limits import (
    NO_LIMITS,
    ConnectionLimits,
    IntakeBounds,
    derive_bounds,
)
from laburnumyard.intake._idle_connections import (
    ANY_ADDRESS,
    cut_for_memory,
    longest_idle,
)
from laburnumyard.intake._machine_limits import (
    MachineLimits,
    read_machine_limits,
)
from laburnumyard.intake._parsing_queue import (
    CALLS_AT_ONCE,
    MIN_PART_BYTES,
    ParsingConnection,
    ParsingQueue,
    is_costly_body,
)
from laburnumyard.intake._reading_cost import ParsingStoppedError, ReadingCost
from laburnumyard.intake._receive_buffer import AT_ONCE_BYTES, ReceiveBuffer

__all__ = (
    'ANY_ADDRESS',
    'AT_ONCE_BYTES',
    'CALLS_AT_ONCE',
    'MIN_PART_BYTES',
    'NO_LIMITS',
    'CallerListener',
    'ConnectionLimits',
    'IntakeBounds',
    'MachineLimits',
    'ParsingConnection',
    'ParsingQueue',
    'ParsingStoppedError',
    'ReadingCost',
    'ReceiveBuffer',
    'Work',
    'cut_for_memory',
    'derive_bounds',
    'is_costly_body',
    'longest_idle',
    'map_large_buffers',
    'read_machine_limits',
)
