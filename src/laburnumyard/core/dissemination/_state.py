"""Everything that the documents of a daemon remember."""

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

# Of how many versions patches can start.
KEPT_VERSIONS = 4


@dataclass(slots=True)
class Download:
    """A version on its way from a peer.

    Parameters
    ----------
    version
        The newest version that a peer announced.
    sources
        Who has it, the next to be asked first.
    confirmed_at
        When the store confirmed the version, in seconds, or None.
    base
        What the patch starts from, or None.
    part_version
        The version that the collected parts belong to, or none.
    collected
        The parts that have come.
    asked_at
        When the last part was asked for, in seconds.
    restarts
        How often it has started again.
    needs_full_copy
        Whether a patch has failed, so that the whole version is asked for.
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
    """What is being read of the store about one document.

    Parameters
    ----------
    is_pending
        Whether an answer is outstanding.
    retry_at
        When the store may be asked again, in seconds.
    backoff_s
        The pause after the next failure, in seconds.
    has_answered
        Whether the store has ever answered.
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
    """One document of this daemon.

    Parameters
    ----------
    history
        The versions that it held, the newest last.
    source
        How it knows the newest one, or None before there is one.
    confirmed_at
        When the store last confirmed the newest one, to this daemon or to
        another, in seconds, or None.
    store_read
        What is being read of the store.
    download
        What is on its way from a peer, or None.
    patches
        Patches to the newest version by the version they start from.
    """

    history: 'deque[Document]'
    source: Source | None = None
    confirmed_at: float | None = None
    store_read: StoreRead = field(default_factory=StoreRead)
    download: Download | None = None
    patches: dict[Version, bytes] = field(default_factory=dict)

    @property
    def newest(self) -> Document | None:
        """The version in force."""
        return self.history[-1] if self.history else None

    @property
    def version(self) -> Version:
        """The number of the version in force, or 0."""
        return self.history[-1].version if self.history else NO_VERSION

    def find_version(self, version: int) -> Document | None:
        """Return a version that is still at hand."""
        found = (one for one in self.history if one.version == version)
        return next(found, None)


def new_entry() -> Entry:
    """Return the entry of a document of which there is no version yet."""
    return Entry(deque(maxlen=KEPT_VERSIONS))


@dataclass(slots=True)
class DocumentsState:
    """Everything that the documents of a daemon remember.

    Parameters
    ----------
    settings
        Intervals and bounds.
    read_head
        Reads the summary of a head.
    draw
        Returns a random number from 0 up to 1.
    budget
        The store calls that may still be made.
    entries
        The documents by name.
    retired
        Documents that the configuration names no more; one that returns goes
        on from the version that it had.
    peers
        Who else is live.
    now
        The time of the event that is taken, in seconds.
    store_fallback_at
        When a daemon without documents reads the store itself, in seconds, or
        None before the first tick.
    next_sync_at
        When the next random peer is asked, in seconds.
    next_digest_sync_at
        When the next digest may lead to a comparison, in seconds.
    next_missing_request_at
        When peers are asked next for missing documents, in seconds.
    effects
        What the shell has to do.
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
