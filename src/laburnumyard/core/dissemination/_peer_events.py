"""What other daemons say of documents."""

from dataclasses import dataclass

from laburnumyard.core.ids import DaemonName
from laburnumyard.schema._generated import messages


@dataclass(frozen=True, slots=True)
class DigestHeard:
    """A heartbeat came with the digest of its sender's documents."""

    sender: DaemonName
    digest: int


@dataclass(frozen=True, slots=True)
class VersionsHeard:
    """Another daemon told its versions."""

    sender: DaemonName
    versions: messages.Versions


@dataclass(frozen=True, slots=True)
class FetchHeard:
    """Another daemon asks for a part of a patch."""

    sender: DaemonName
    fetch: messages.FetchDocument


@dataclass(frozen=True, slots=True)
class PartHeard:
    """A part of a patch came."""

    sender: DaemonName
    part: messages.DocumentPart
