"""Events of the documents that come from other daemons."""

from dataclasses import dataclass

from laburnumyard.core.ids import DaemonName
from laburnumyard.schema._generated import messages


@dataclass(frozen=True, slots=True)
class DigestReceived:
    """A heartbeat arrived with the digest of its sender's documents."""

    sender: DaemonName
    digest: int


@dataclass(frozen=True, slots=True)
class VersionsReceived:
    """Another daemon announced its versions."""

    sender: DaemonName
    versions: messages.Versions


@dataclass(frozen=True, slots=True)
class FetchReceived:
    """Another daemon requested a part of a patch."""

    sender: DaemonName
    fetch: messages.FetchDocument


@dataclass(frozen=True, slots=True)
class PartReceived:
    """A part of a patch arrived."""

    sender: DaemonName
    part: messages.DocumentPart
