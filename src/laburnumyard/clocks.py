"""The clock and the random source that the daemon hands to the core."""

import secrets
import time

from laburnumyard.core.ids import Incarnation, Seconds

MILLISECONDS_PER_SECOND = 1000
FRACTION_BITS = 53
NUMBER_BITS = 64
FRACTION_STEPS = 1 << FRACTION_BITS


def boot_time() -> Seconds:
    """Return the time since boot in seconds, including suspended time.

    ``CLOCK_MONOTONIC`` stands still while a VM is suspended; a lease measured
    with it would outlive its lapse.
    """
    return Seconds(time.clock_gettime(time.CLOCK_BOOTTIME))


def new_incarnation() -> Incarnation:
    """Return an incarnation above those of earlier starts of this VM."""
    return Incarnation(time.time_ns() // MILLISECONDS_PER_SECOND)


def draw_fraction() -> float:
    """Return a random number from 0 up to 1."""
    return secrets.randbelow(FRACTION_STEPS) / FRACTION_STEPS


def draw_token() -> str:
    """Return a random name that nobody can guess."""
    return secrets.token_hex(8)


def draw_number() -> int:
    """Return a random number of 64 bits."""
    return secrets.randbits(NUMBER_BITS)
