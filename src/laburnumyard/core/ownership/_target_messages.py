"""Messages of a lease manager to a target or its guard."""

from dataclasses import dataclass

from laburnumyard.core.ids import (
    DaemonName,
    Seconds,
    Sequence,
    TargetName,
    Term,
)
from laburnumyard.core.key_hashing import HashRange


@dataclass(frozen=True, slots=True)
class SendSeal:
    """Make a target refuse all calls with a term below this one.

    Parameters
    ----------
    target
        The target that the message is about.
    guard
        The daemon that holds the grants of a target without fencing.
    call
        The number of the message, echoed in the answer.
    term
        The lowest term that the target still accepts.
    not_after
        Drop the message if it has not been sent by this time, in seconds.
    """

    target: TargetName
    guard: DaemonName | None
    call: int
    term: Term
    not_after: Seconds


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Replace the ranges that a target holds; an empty set revokes all.

    Parameters
    ----------
    target
        The target that the message is about.
    guard
        The daemon that holds the grants of a target without fencing.
    call
        The number of the message, echoed in the answer.
    term, sequence
        The fencing token of this grant.
    clock_ms
        The reading of the holder's clock from which the lifetime counts, in
        milliseconds.
    lifetime_ms
        The lifetime, in milliseconds.
    ranges
        All ranges that the target holds from now on.
    not_after
        Drop the message if it has not been sent by this time, in seconds.
    """

    target: TargetName
    guard: DaemonName | None
    call: int
    term: Term
    sequence: Sequence
    clock_ms: int
    lifetime_ms: int
    ranges: tuple[HashRange, ...]
    not_after: Seconds


@dataclass(frozen=True, slots=True)
class SendRenew:
    """Extend the last grant of a target; fields as in ``SendGrant``."""

    target: TargetName
    guard: DaemonName | None
    call: int
    term: Term
    sequence: Sequence
    clock_ms: int
    lifetime_ms: int
    not_after: Seconds
