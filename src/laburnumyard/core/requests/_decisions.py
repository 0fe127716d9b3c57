"""What a submission with a ticket gets."""

from dataclasses import dataclass, field

from laburnumyard.core.errors import ErrorKind, Failure


@dataclass(frozen=True, slots=True)
class Run:
    """Run the request now; ``finish`` must follow."""


@dataclass(frozen=True, slots=True)
class Replay:
    """Give the caller the first answer again."""

    answer: bytes


@dataclass(frozen=True, slots=True)
class StillRunning:
    """The first submission has not ended."""

    failure: Failure = field(
        default_factory=lambda: Failure(ErrorKind.STILL_RUNNING),
    )


@dataclass(frozen=True, slots=True)
class Void:
    """The ledger no longer knows, or never knew, what became of it."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class Conflict:
    """The ticket was used for another request."""

    failure: Failure = field(
        default_factory=lambda: Failure(ErrorKind.TICKET_CONFLICT),
    )


@dataclass(frozen=True, slots=True)
class NotTaken:
    """The ledger takes nothing new now; the request did not run."""

    failure: Failure


Decision = Run | Replay | StillRunning | Void | Conflict | NotTaken
