"""Clock and random sources that the daemon injects into the core."""

import secrets
import time

from laburnumyard.core.ids import Incarnation, Seconds

MILLISECONDS_PER_SECOND = 1000
FRACTION_BITS = 53
NUMBER_BITS = 64
FRACTION_STEPS = 1 << FRACTION_BITS


def boot_time() -> Seconds:
    """Return the time since boot in seconds, including suspended time.

    ``CLOCK_MONOTONIC`` does not advance while a VM is suspended, so a lease
    measured with it would be held past its expiry.
    """
    return Seconds(time.clock_gettime(time.CLOCK_BOOTTIME))


def new_incarnation() -> Incarnation:
    """Return an incarnation greater than those of earlier starts."""
    return Incarnation(time.time_ns() // MILLISECONDS_PER_SECOND)


def random_fraction() -> float:
    """Return a random number in [0, 1)."""
    return secrets.randbelow(FRACTION_STEPS) / FRACTION_STEPS


def random_token() -> str:
    """Return an unguessable random token of 64 bits, in hexadecimal."""
    return secrets.token_hex(8)


def random_number() -> int:
    """Return a random 64-bit integer."""
    return secrets.randbits(NUMBER_BITS)
