"""What the documents ask of the shell."""

from dataclasses import dataclass

from laburnumyard.core.dissemination._document import (
    Digest,
    Document,
    DocumentName,
    Source,
)
from laburnumyard.core.ids import DaemonName
from laburnumyard.schema._generated import messages


@dataclass(frozen=True, slots=True)
class ReadStore:
    """Read a head; feed `HeadRead`, `HeadUnchanged` or `StoreFailed` back.

    Parameters
    ----------
    name
        The name of the document.
    after
        Wait for a revision above this one (a watch), or None to read at once.
    """

    name: DocumentName
    after: int | None


@dataclass(frozen=True, slots=True)
class ReadChunks:
    """Read chunks; feed `ChunksRead` or `StoreFailed` back."""

    name: DocumentName
    digests: tuple[Digest, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; it may be lost."""

    daemon: DaemonName
    message: messages.Versions | messages.FetchDocument | messages.DocumentPart


@dataclass(frozen=True, slots=True)
class Adopt:
    """Put a version in force. Versions of one name only rise."""

    document: Document
    source: Source


@dataclass(frozen=True, slots=True)
class LogRefused:
    """Log that something was refused, and why."""

    name: DocumentName
    reason: str


Effect = ReadStore | ReadChunks | Send | Adopt | LogRefused
