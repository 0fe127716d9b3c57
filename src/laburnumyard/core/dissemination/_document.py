"""One version of a document, and where it came from."""

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
    """How a daemon knows that a version is the newest one."""

    # It read the store itself.
    STORE = 'store'
    # Peers passed on that the store confirmed it to one of them of late.
    READER = 'reader'
    # The highest of the peers that it reached; the store confirmed none.
    PEER = 'peer'


@dataclass(frozen=True, slots=True)
class HeadSummary:
    """What has to be known of a head to pass its document on.

    Parameters
    ----------
    version
        The version in the head.
    digests
        The digests of all chunks that it names, in order.
    """

    version: Version
    digests: tuple[Digest, ...]


# Returns the summary of an untrusted head, or None if it is malformed.
HeadReader = Callable[[DocumentName, bytes], HeadSummary | None]


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A head as the store gave it.

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
    """One whole version of a document.

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
