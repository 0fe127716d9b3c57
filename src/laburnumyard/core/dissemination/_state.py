"""State of the replicated documents of a daemon."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from laburnumyard.core.call_budget import CallBudget
from laburnumyard.core.dissemination._document import (
    NO_VERSION,
    Document,
    DocumentName,
    HeadReader,
    Source,
    StoredHead,
)
from laburnumyard.core.dissemination._effects import Effect
from laburnumyard.core.dissemination._events import NO_PEERS, PeersChanged
from laburnumyard.core.dissemination._settings import DisseminationSettings
from laburnumyard.core.ids import DaemonName, Version

# Recent versions kept as bases for patches.
KEPT_VERSIONS = 4


@dataclass(slots=True)
class Download:
    """A download of a version from peers.

    Parameters
    ----------
    version
        The newest version that a peer announced.
    sources
        The peers that have a newer version; the first is in use.
    confirmed_at
        When the store confirmed the version, in seconds, or None.
    base
        The version that the patch is based on, or None.
    part_version
        The version that the collected parts belong to, or ``NO_VERSION``.
    collected
        The content of the parts received so far.
    asked_at
        When the last part was requested, in seconds.
    restarts
        Number of restarts.
    needs_full_copy
        Whether a patch failed, so that the full version is requested.
    """

    version: Version
    sources: 'deque[DaemonName]'
    confirmed_at: float | None = None
    base: Document | None = None
    part_version: Version = NO_VERSION
    collected: bytearray = field(default_factory=bytearray)
    asked_at: float = 0
    restarts: int = 0
    needs_full_copy: bool = False


@dataclass(slots=True)
class StoreRead:
    """State of the store reads for one document.

    Parameters
    ----------
    is_pending
        Whether a response is outstanding.
    retry_at
        Earliest time of the next read, in seconds.
    backoff_s
        The back-off after the next failure, in seconds.
    has_answered
        Whether the store has ever responded.
    head
        A head whose chunks are being read, or None.
    """

    is_pending: bool = False
    retry_at: float = 0
    backoff_s: float = 0
    has_answered: bool = False
    head: StoredHead | None = None


@dataclass(slots=True)
class Entry:
    """State of one replicated document.

    Parameters
    ----------
    history
        Recent versions, the newest last.
    source
        The source of the newest version, or None before there is one.
    confirmed_at
        When the store last confirmed the newest version to any daemon, in
        seconds, or None.
    store_read
        State of the store reads.
    download
        The current download from peers, or None.
    patches
        Cached patches to the newest version by their base version.
    """

    history: 'deque[Document]'
    source: Source | None = None
    confirmed_at: float | None = None
    store_read: StoreRead = field(default_factory=StoreRead)
    download: Download | None = None
    patches: dict[Version, bytes] = field(default_factory=dict)

    @property
    def newest(self) -> Document | None:
        """The active version, or None."""
        return self.history[-1] if self.history else None

    @property
    def version(self) -> Version:
        """The number of the active version, or 0."""
        return self.history[-1].version if self.history else NO_VERSION

    def find_version(self, version: int) -> Document | None:
        """Return a version from the history, or None."""
        found = (one for one in self.history if one.version == version)
        return next(found, None)


def new_entry() -> Entry:
    """Return the entry of a document without any version."""
    return Entry(deque(maxlen=KEPT_VERSIONS))


@dataclass(slots=True)
class DocumentsState:
    """State of the replicated documents of a daemon.

    Parameters
    ----------
    settings
        Intervals and bounds.
    read_head
        Reads the summary of a head.
    draw
        Returns a random number in [0, 1).
    budget
        Rate limit of store calls.
    entries
        The documents by name.
    retired
        Documents no longer in the configuration; one that returns continues
        from its last version.
    peers
        The live peers.
    now
        The time of the current event, in seconds.
    store_fallback_at
        When a daemon without documents reads the store itself, in seconds, or
        None before the first tick.
    next_sync_at
        When versions are next compared with a random peer, in seconds.
    next_digest_sync_at
        Earliest time of the next comparison triggered by a digest, in seconds.
    next_missing_request_at
        Earliest time of the next request for missing documents, in seconds.
    effects
        The effects that the current event requests.
    """

    settings: DisseminationSettings
    read_head: HeadReader
    draw: Callable[[], float]
    budget: CallBudget
    entries: dict[DocumentName, Entry] = field(default_factory=dict)
    retired: dict[DocumentName, Entry] = field(default_factory=dict)
    peers: PeersChanged = NO_PEERS
    now: float = 0
    store_fallback_at: float | None = None
    next_sync_at: float = 0
    next_digest_sync_at: float = 0
    next_missing_request_at: float = 0
    effects: list[Effect] = field(default_factory=list)
