"""Events that a lease manager handles."""

from dataclasses import dataclass

from laburnumyard.core.ids import (
    DaemonName,
    Sequence,
    TargetName,
    Term,
)
from laburnumyard.core.key_hashing import HashRange
from laburnumyard.core.ownership._hints import Hint
from laburnumyard.core.ownership._store_events import (
    HeadRead,
    HeadUnreadable,
    SwapAnswer,
)


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due at the latest at ``LeaseManager.wake_at``."""


@dataclass(frozen=True, slots=True)
class TakeOver:
    """Take over the management of the scope."""


@dataclass(frozen=True, slots=True)
class Leave:
    """The daemon is leaving: only renew until a successor has taken over."""


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A target, or its guard, has answered a seal, a grant or a renewal.

    Parameters
    ----------
    target
        The target that the answer is about.
    call
        The number of the message that it answers.
    accepted
        Whether the holder accepted the call.
    term, sequence
        The fencing token that the holder has after the call.
    clock_ms
        A reading of the holder's boot-time clock, in milliseconds.
    ranges
        The ranges whose grant has not expired; ``None`` if the answer omits
        them, as the answer to a renewal does.
    busy
        The number of requests in flight on released ranges.
    guard
        The daemon that answered for a target without fencing.
    """

    target: TargetName
    call: int
    accepted: bool
    term: Term
    sequence: Sequence
    clock_ms: int
    ranges: tuple[HashRange, ...] | None = ()
    busy: int = 0
    guard: DaemonName | None = None


Event = (
    Tick
    | TakeOver
    | Leave
    | HeadRead
    | HeadUnreadable
    | SwapAnswer
    | TargetAnswer
    | Hint
)
