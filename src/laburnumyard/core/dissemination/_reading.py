"""Reading the store: few daemons do it for all."""

from laburnumyard.core.dissemination._adopting import adopt, refuse
from laburnumyard.core.dissemination._document import (
    Digest,
    DocumentName,
    Source,
    StoredHead,
    digest_of,
)
from laburnumyard.core.dissemination._effects import ReadChunks, ReadStore
from laburnumyard.core.dissemination._events import ChunksRead
from laburnumyard.core.dissemination._patches import complete
from laburnumyard.core.dissemination._state import (
    DocumentsState,
    Entry,
    Reading,
)

# Every revision that the store gives is above this one.
ABSENT_REVISION = 0


def read_store(state: DocumentsState) -> None:
    """Ask the store about each document that this daemon has to read."""
    for name, entry in state.entries.items():
        reading = entry.reading
        if reading.is_waiting or state.now < reading.retry_at:
            continue
        if _has_to_read(state, entry) and state.budget.take(state.now):
            reading.is_waiting = True
            state.effects.append(ReadStore(name, _known_revision(entry)))


def _has_to_read(state: DocumentsState, entry: Entry) -> bool:
    """Tell whether this daemon reads, or nobody has told it of a version."""
    if state.peers.is_reader:
        return True
    if entry.newest or state.fallback_at is None:
        return False
    return state.now >= state.fallback_at


def _known_revision(entry: Entry) -> int | None:
    """Return the revision to watch after, None before the first answer."""
    if not entry.reading.has_answered:
        return None
    return entry.newest.head.revision if entry.newest else ABSENT_REVISION


def take_head(
    state: DocumentsState,
    name: DocumentName,
    head: StoredHead,
) -> None:
    """Take a head from the store and read the chunks that are missing."""
    entry = state.entries.get(name)
    if entry is None:
        return
    summary = state.read_head(name, head.content)
    if summary is None:
        refuse(state, name, 'the store holds a malformed head')
        fail(state, name)
        return
    if summary.version <= entry.version:
        confirm(state, entry)
        return
    known = _chunks_at_hand(entry)
    missing = tuple(digest for digest in summary.digests if digest not in known)
    entry.reading.head = head
    if missing:
        _read_chunks(state, name, missing)
    else:
        take_chunks(state, ChunksRead(name, {}))


def _read_chunks(
    state: DocumentsState,
    name: DocumentName,
    missing: tuple[Digest, ...],
) -> None:
    if state.budget.take(state.now, len(missing)):
        state.effects.append(ReadChunks(name, missing))
    else:
        fail(state, name)


def _chunks_at_hand(entry: Entry) -> dict[Digest, bytes]:
    return dict(entry.newest.chunks) if entry.newest else {}


def take_chunks(state: DocumentsState, event: ChunksRead) -> None:
    """Put a head from the store in force with its chunks."""
    entry = state.entries.get(event.name)
    if entry is None or entry.reading.head is None:
        return
    read = {digest_of(chunk): chunk for chunk in event.chunks.values()}
    chunks = _chunks_at_hand(entry) | read
    try:
        document = complete(
            state.read_head, event.name, entry.reading.head, chunks
        )
    except ValueError as error:
        refuse(state, event.name, str(error))
        fail(state, event.name)
        return
    entry.reading = Reading(has_answered=True)
    adopt(state, document, Source.STORE, state.now)


def confirm(state: DocumentsState, entry: Entry) -> None:
    """Note that the store has answered and holds nothing newer."""
    entry.reading = Reading(has_answered=True)
    entry.confirmed_at = state.now
    if entry.newest:
        entry.source = Source.STORE


def fail(state: DocumentsState, name: DocumentName) -> None:
    """Ask the store again after a pause that grows with each failure."""
    entry = state.entries.get(name)
    if entry is None:
        return
    settings = state.settings
    pause = max(entry.reading.pause_s, settings.store_retry_s)
    entry.reading = Reading(
        retry_at=state.now + pause * (1 + state.draw()) / 2,
        pause_s=min(2 * pause, settings.store_retry_max_s),
        has_answered=entry.reading.has_answered,
    )
