"""Reads requests of callers within bounds on memory and processor time."""

from laburnumyard.intake._allocator import map_large_buffers
from laburnumyard.intake._machine_limits import (
    MACHINE_VARIABLES,
    MachineLimits,
    add_machine_variables,
    choose_limits,
    read_machine_limits,
)
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
    'MACHINE_VARIABLES',
    'MachineLimits',
    'ParsingConnection',
    'ParsingQueue',
    'ParsingStoppedError',
    'ReadingCost',
    'ReceiveBuffer',
    'add_machine_variables',
    'choose_limits',
    'map_large_buffers',
    'read_machine_limits',
)
