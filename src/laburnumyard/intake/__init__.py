"""Reads requests of callers within bounds on memory and processor time."""

from laburnumyard.intake._allocator import map_large_buffers
from laburnumyard.intake._caller_listener import (
    ANY_ADDRESS,
    NO_LIMITS,
    OPERATOR_LIMITS,
    CallerListener,
    ConnectionLimits,
    Work,
    derive_connection_limits,
)
from laburnumyard.intake._machine_limits import (
    MachineLimits,
    choose_limits,
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
    'OPERATOR_LIMITS',
    'CallerListener',
    'ConnectionLimits',
    'MachineLimits',
    'ParsingConnection',
    'ParsingQueue',
    'ParsingStoppedError',
    'ReadingCost',
    'ReceiveBuffer',
    'Work',
    'choose_limits',
    'derive_connection_limits',
    'is_costly_body',
    'map_large_buffers',
    'read_machine_limits',
)
