"""Effects that the documents request from their caller."""

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
    """Read a head; results in `HeadRead`, `HeadUnchanged` or `StoreFailed`.

    Parameters
    ----------
    name
        The name of the document.
    after
        Watch for a revision above this one, or None to read immediately.
    """

    name: DocumentName
    after: int | None


@dataclass(frozen=True, slots=True)
class ReadChunks:
    """Read chunks; results in `ChunksRead` or `StoreFailed`."""

    name: DocumentName
    digests: tuple[Digest, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; delivery is not guaranteed."""

    daemon: DaemonName
    message: messages.Versions | messages.FetchDocument | messages.DocumentPart


@dataclass(frozen=True, slots=True)
class Adopt:
    """Activate a version; the versions of a document only increase."""

    document: Document
    source: Source


@dataclass(frozen=True, slots=True)
class LogRejected:
    """Log that a version was rejected, and why."""

    name: DocumentName
    reason: str


Effect = ReadStore | ReadChunks | Send | Adopt | LogRejected
