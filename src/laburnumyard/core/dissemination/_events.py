"""What happens to the documents of a daemon."""

from collections.abc import Mapping
from dataclasses import dataclass

from laburnumyard.core.dissemination._document import (
    Digest,
    Document,
    DocumentName,
    StoredHead,
)
from laburnumyard.core.ids import DaemonName


@dataclass(frozen=True, slots=True)
class NamesChanged:
    """The documents that this daemon has to hold are these."""

    names: tuple[DocumentName, ...]


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """The live members have changed.

    Parameters
    ----------
    near
        The others in this daemon's data centre.
    far
        The others elsewhere.
    readers
        Who reads the store for this data centre, this daemon too if it does.
    is_reader
        Whether this daemon is one of them.
    """

    near: tuple[DaemonName, ...]
    far: tuple[DaemonName, ...]
    readers: tuple[DaemonName, ...]
    is_reader: bool


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The store has answered a read or a watch with a head."""

    name: DocumentName
    head: StoredHead


@dataclass(frozen=True, slots=True)
class HeadUnchanged:
    """The store has answered that there is nothing newer, or nothing."""

    name: DocumentName


@dataclass(frozen=True, slots=True)
class ChunksRead:
    """The store has answered with chunks of a head."""

    name: DocumentName
    chunks: Mapping[Digest, bytes]


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """A read of the store about a document has failed or timed out."""

    name: DocumentName


@dataclass(frozen=True, slots=True)
class Published:
    """The daemon itself has changed a document in the store."""

    document: Document


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed. Due about every 0.1 s."""


NO_PEERS = PeersChanged((), (), (), is_reader=False)
