"""A version of a document and its source."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from hashlib import sha256
from typing import NewType

from laburnumyard.core.ids import Version

# `config` or `assignment/SERVICE`.
DocumentName = NewType('DocumentName', str)
# The SHA-256 of a chunk, in hexadecimal.
Digest = NewType('Digest', str)

NO_VERSION = Version(0)


class Source(Enum):
    """Evidence that a version is the newest one."""

    # This daemon read it from the store.
    STORE = 'store'
    # Peers report a recent confirmation by the store.
    READER = 'reader'
    # Highest version among the reachable peers, not confirmed by the store.
    PEER = 'peer'


@dataclass(frozen=True, slots=True)
class HeadSummary:
    """Version and chunk digests of a head.

    Parameters
    ----------
    version
        The version in the head.
    digests
        The digests of all chunks that the head lists, in order.
    """

    version: Version
    digests: tuple[Digest, ...]


# Returns the summary of an untrusted head, or None if it is malformed.
HeadReader = Callable[[DocumentName, bytes], HeadSummary | None]


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A head as returned by the store.

    Parameters
    ----------
    revision
        The store's revision of the key.
    content
        The bytes of the value.
    """

    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Document:
    """A complete version of a document.

    Parameters
    ----------
    name
        The name of the document.
    version
        Its version.
    head
        The head.
    chunks
        The content of every chunk by its digest, in the order of the head.
    """

    name: DocumentName
    version: Version
    head: StoredHead
    chunks: Mapping[Digest, bytes]


def digest_of(content: bytes) -> Digest:
    """Return the digest of a chunk."""
    return Digest(sha256(content).hexdigest())
