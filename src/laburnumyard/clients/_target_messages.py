"""Requests and responses of the targets' control API."""

from dataclasses import dataclass
from enum import Enum

from laburnumyard.core.ids import Sequence, ServiceName, Term
from laburnumyard.core.key_hashing import HashRange


class TargetErrorKind(Enum):
    """Reasons why a control call fails."""

    UNREACHABLE = 'unreachable'
    TIMEOUT = 'timeout'
    BROKE_OFF = 'broke-off'
    MALFORMED = 'malformed'
    UNSUPPORTED = 'unsupported'


@dataclass(frozen=True, slots=True)
class TargetError:
    """A control call without a usable response.

    Parameters
    ----------
    kind
        Reason of the failure.
    has_left
        Whether the request may have been sent and may take effect.
    detail
        Description of the failure.
    """

    kind: TargetErrorKind
    has_left: bool
    detail: str = ''


@dataclass(frozen=True, slots=True)
class SealOrder:
    """Makes a target reject all earlier terms."""

    service: ServiceName
    term: Term


@dataclass(frozen=True, slots=True)
class RenewOrder:
    """Extends the lease of the current grant of a target.

    Parameters
    ----------
    service, term, sequence
        The grant to renew.
    clock_ms
        A reading of the target's own clock, in milliseconds.
    lifetime_ms
        Lease duration counted from that reading, in milliseconds.
    """

    service: ServiceName
    term: Term
    sequence: Sequence
    clock_ms: int
    lifetime_ms: int


@dataclass(frozen=True, slots=True)
class GrantOrder(RenewOrder):
    """Replaces all granted key ranges; empty ranges revoke the grant."""

    ranges: tuple[HashRange, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """Response of a target to a seal, grant or renewal.

    Parameters
    ----------
    accepted
        Whether the target accepted the request.
    term, sequence
        The current fencing token of the target.
    clock_ms
        The target's clock, in milliseconds.
    ranges
        The key ranges granted now; None after a renewal, which does not
        change them.
    busy
        Number of requests that run or are queued.
    leaving
        Whether the target is about to shut down; None if malformed.
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
    """Whether a target drains, and its number of unfinished requests."""

    draining: bool
    busy: int


@dataclass(frozen=True, slots=True)
class TargetHealth:
    """Health that a target reports about itself.

    Parameters
    ----------
    healthy
        Whether the target reports itself healthy; may be stale or wrong.
    leaving
        Whether the target is about to shut down; None if malformed.
    """

    healthy: bool
    leaving: bool | None = None


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that a target reports about itself; may be stale or wrong."""

    busy: int
    slots: int
