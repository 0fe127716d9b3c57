"""Replication of the configuration and the assignments to every daemon.

The package performs no input or output. The caller owns one `Documents` and
passes it `NamesChanged` at the start and after each configuration change
(``config`` and ``assignment/SERVICE`` of each service), `PeersChanged` when
the member table changes, `Tick` about every 0.1 s, `DigestReceived` from
heartbeats, and the messages ``Versions``, ``FetchDocument`` and
``DocumentPart`` as `VersionsReceived`, `FetchReceived` and `PartReceived`. A
daemon that has replaced a head in the store itself passes `Published`.

The caller executes the returned effects in order: `Send` by ``pool.send``;
`ReadStore` as a read, or as a watch after a revision; `ReadChunks` as reads of
the digests for the given name; `Adopt` activates a version. ``read_head``
extracts the version and digests from a head of either kind.
"""

from laburnumyard.core.dissemination._document import (
    Digest,
    Document,
    DocumentName,
    HeadSummary,
    Source,
    StoredHead,
    digest_of,
)
from laburnumyard.core.dissemination._documents import Documents
from laburnumyard.core.dissemination._effects import (
    Adopt,
    Effect,
    LogRejected,
    ReadChunks,
    ReadStore,
    Send,
)
from laburnumyard.core.dissemination._events import (
    ChunksRead,
    HeadRead,
    HeadUnchanged,
    NamesChanged,
    PeersChanged,
    Published,
    StoreFailed,
    Tick,
)
from laburnumyard.core.dissemination._peer_events import (
    DigestReceived,
    FetchReceived,
    PartReceived,
    VersionsReceived,
)
from laburnumyard.core.dissemination._settings import DisseminationSettings

__all__ = (
    'Adopt',
    'ChunksRead',
    'Digest',
    'DigestReceived',
    'DisseminationSettings',
    'Document',
    'DocumentName',
    'Documents',
    'Effect',
    'FetchReceived',
    'HeadRead',
    'HeadSummary',
    'HeadUnchanged',
    'LogRejected',
    'NamesChanged',
    'PartReceived',
    'PeersChanged',
    'Published',
    'ReadChunks',
    'ReadStore',
    'Send',
    'Source',
    'StoreFailed',
    'StoredHead',
    'Tick',
    'VersionsReceived',
    'digest_of',
)
