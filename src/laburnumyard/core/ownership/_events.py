"""What a lease manager is told."""

from dataclasses import dataclass

from laburnumyard.core.ids import (
    DaemonName,
    Sequence,
    TargetName,
    Term,
)
from laburnumyard.core.keys import HashRange
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
    """The daemon is to manage the scope."""


@dataclass(frozen=True, slots=True)
class Leave:
    """The daemon is leaving: renew until a successor has taken over."""


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A target, or its guard, has answered a seal, a grant or a renewal.

    Parameters
    ----------
    target
        Who answered.
    call
        The number of the message that it answers.
    accepted
        Whether it did as asked.
    term, sequence
        What it holds after the call.
    clock_ms
        A reading of its boot-time clock, in milliseconds.
    ranges
        The ranges whose grant has not expired; ``None`` where the answer
        leaves them out, as that to a renewal does.
    busy
        Requests in flight on ranges that it has released.
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
