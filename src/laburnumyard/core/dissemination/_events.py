"""Events of the documents that come from the daemon or the store."""

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
    """The set of documents that this daemon replicates changed."""

    names: tuple[DocumentName, ...]


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """The live members changed.

    Parameters
    ----------
    near
        The other daemons in this daemon's data centre.
    far
        The daemons in other data centres.
    readers
        The daemons that read the store for this data centre, including this
        one if it is a reader.
    is_reader
        Whether this daemon is a reader.
    """

    near: tuple[DaemonName, ...]
    far: tuple[DaemonName, ...]
    readers: tuple[DaemonName, ...]
    is_reader: bool


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The store answered a read or a watch with a head."""

    name: DocumentName
    head: StoredHead


@dataclass(frozen=True, slots=True)
class HeadUnchanged:
    """The store answered that the head is unchanged or absent."""

    name: DocumentName


@dataclass(frozen=True, slots=True)
class ChunksRead:
    """The store returned chunks of a head."""

    name: DocumentName
    chunks: Mapping[Digest, bytes]


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """A store read for a document failed or timed out."""

    name: DocumentName


@dataclass(frozen=True, slots=True)
class Published:
    """A new version was written to the store by this daemon."""

    document: Document


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; expected about every 0.1 s."""


NO_PEERS = PeersChanged((), (), (), is_reader=False)
