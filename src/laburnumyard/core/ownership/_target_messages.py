"""What a lease manager sends to a target, or to its guard."""

from dataclasses import dataclass

from laburnumyard.core.ids import (
    DaemonName,
    Seconds,
    Sequence,
    TargetName,
    Term,
)
from laburnumyard.core.keys import HashRange


@dataclass(frozen=True, slots=True)
class SendSeal:
    """Tell a target the term below which it refuses everything.

    Parameters
    ----------
    target
        Whom to tell.
    guard
        The daemon that holds the grants of a target without fencing.
    call
        A number to echo in the answer.
    term
        The term.
    not_after
        Drop the message if it has not been sent by then.
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
        Whom to tell.
    guard
        The daemon that holds the grants of a target without fencing.
    call
        A number to echo in the answer.
    term, sequence
        The fencing token of this grant.
    clock_ms
        The reading of the holder's clock from which the lifetime counts.
    lifetime_ms
        The lifetime, in milliseconds.
    ranges
        Everything that the target is to hold.
    not_after
        Drop the message if it has not been sent by then.
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
