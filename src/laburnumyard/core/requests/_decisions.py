"""Decisions of the ticket ledger on a submission."""

from dataclasses import dataclass, field

from laburnumyard.core.errors import ErrorKind, Failure


@dataclass(frozen=True, slots=True)
class Run:
    """Run the request now; ``finish`` must follow."""


@dataclass(frozen=True, slots=True)
class Replay:
    """Return the stored answer of the first submission."""

    answer: bytes


@dataclass(frozen=True, slots=True)
class StillRunning:
    """The first submission is still running."""

    failure: Failure = field(
        default_factory=lambda: Failure(ErrorKind.STILL_RUNNING),
    )


@dataclass(frozen=True, slots=True)
class TicketVoid:
    """The ledger has no record of the outcome of the ticket."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class Conflict:
    """The ticket was already used for a different request."""

    failure: Failure = field(
        default_factory=lambda: Failure(ErrorKind.TICKET_CONFLICT),
    )


@dataclass(frozen=True, slots=True)
class Rejected:
    """The ledger accepts no new submission; the request did not run."""

    failure: Failure


Decision = Run | Replay | StillRunning | TicketVoid | Conflict | Rejected
