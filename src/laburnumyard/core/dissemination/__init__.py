"""Dissemination: every daemon holds the newest configuration and assignments.

A shell keeps one `Documents`. It feeds `NamesChanged` at the start and after
each configuration (``config`` and ``assignment/SERVICE`` of each service),
`PeersChanged` when the member table changes, `Tick` about every 0.1 s,
`DigestHeard` from heartbeats, and the messages ``Versions``, ``FetchDocument``
and ``DocumentPart`` as `VersionsHeard`, `FetchHeard` and `PartHeard`. A daemon
that has swapped a head itself feeds `Published`.

It runs the effects in order: `Send` by ``pool.send``; `ReadStore` as a read, or
as a watch after a revision; `ReadChunks` as reads of the digests that the name
stands for; `Adopt` puts a version in force. ``read_head`` reads version and
digests from a head of either kind.
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
    LogRefused,
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
    DigestHeard,
    FetchHeard,
    PartHeard,
    VersionsHeard,
)
from laburnumyard.core.dissemination._settings import DisseminationSettings

__all__ = (
    'Adopt',
    'ChunksRead',
    'Digest',
    'DigestHeard',
    'DisseminationSettings',
    'Document',
    'DocumentName',
    'Documents',
    'Effect',
    'FetchHeard',
    'HeadRead',
    'HeadSummary',
    'HeadUnchanged',
    'LogRefused',
    'NamesChanged',
    'PartHeard',
    'PeersChanged',
    'Published',
    'ReadChunks',
    'ReadStore',
    'Send',
    'Source',
    'StoreFailed',
    'StoredHead',
    'Tick',
    'VersionsHeard',
    'digest_of',
)
