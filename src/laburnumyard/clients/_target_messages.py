"""Messages of the targets' control API."""

from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import Sequence, ServiceName, Term
from laburnumyard.core.keys import HashRange


class TargetErrorKind(Enum):
    """Every way in which a control call can fail."""

    UNREACHABLE = 'unreachable'
    TIMEOUT = 'timeout'
    BROKE_OFF = 'broke-off'
    MALFORMED = 'malformed'
    UNSUPPORTED = 'unsupported'


@dataclass(frozen=True, slots=True)
class TargetError:
    """A control call that got no usable answer.

    Parameters
    ----------
    kind
        Why.
    has_left
        Whether the order may take effect.
    detail
        What was met.
    """

    kind: TargetErrorKind
    has_left: bool
    detail: str = ''


@dataclass(frozen=True, slots=True)
class SealOrder:
    """Makes a target refuse all earlier terms."""

    service: ServiceName
    term: Term


@dataclass(frozen=True, slots=True)
class RenewOrder:
    """Extends the life of what a target holds.

    Parameters
    ----------
    service, term, sequence
        The grant that is renewed.
    clock_ms
        A reading that the target's own clock gave.
    lifetime_ms
        The life counted from that reading.
    """

    service: ServiceName
    term: Term
    sequence: Sequence
    clock_ms: int
    lifetime_ms: int


@dataclass(frozen=True, slots=True)
class GrantOrder(RenewOrder):
    """Replaces all that a target holds; no ranges mean a revocation."""

    ranges: tuple[HashRange, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """What a target says after a seal, grant or renewal.

    Parameters
    ----------
    accepted
        Whether it took the order.
    term, sequence
        Its fence now.
    clock_ms
        Its clock.
    ranges
        What it holds now; None after a renewal, which leaves them as they are.
    busy
        How many requests it runs or queues.
    leaving
        Whether it is about to end; None where that cannot be read.
    """

    accepted: bool
    term: Term
    sequence: Sequence
    clock_ms: int
    ranges: tuple[HashRange, ...] | None
    busy: int
    leaving: bool | None = None


@dataclass(frozen=True, slots=True)
class DrainAnswer:
    """Whether a target drains, and how many requests it still has."""

    draining: bool
    busy: int


@dataclass(frozen=True, slots=True)
class TargetHealth:
    """A target's word on its health.

    Parameters
    ----------
    healthy
        Whether it is well; it may lag or mislead.
    leaving
        Whether it is about to end; None where that cannot be read.
    """

    healthy: bool
    leaving: bool | None = None


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """A target's word on its load; it may lag or mislead."""

    busy: int
    slots: int
