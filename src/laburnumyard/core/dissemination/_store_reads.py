"""Store reads, which only a few daemons do on behalf of all."""

from laburnumyard.core.dissemination._adoption import adopt, log_refusal
from laburnumyard.core.dissemination._document import (
    Digest,
    DocumentName,
    Source,
    StoredHead,
    digest_of,
)
from laburnumyard.core.dissemination._effects import ReadChunks, ReadStore
from laburnumyard.core.dissemination._events import ChunksRead
from laburnumyard.core.dissemination._patches import assemble_document
from laburnumyard.core.dissemination._state import (
    DocumentsState,
    Entry,
    StoreRead,
)

# Lower than every revision of the store.
ABSENT_REVISION = 0


def read_store(state: DocumentsState) -> None:
    """Start the due store reads, within the call budget."""
    for name, entry in state.entries.items():
        store_read = entry.store_read
        if store_read.is_pending or state.now < store_read.retry_at:
            continue
        if _should_read(state, entry) and state.budget.take(state.now):
            store_read.is_pending = True
            state.effects.append(ReadStore(name, _known_revision(entry)))


def _should_read(state: DocumentsState, entry: Entry) -> bool:
    """Return whether this daemon is a reader, or its fallback read is due."""
    if state.peers.is_reader:
        return True
    if entry.newest or state.store_fallback_at is None:
        return False
    return state.now >= state.store_fallback_at


def _known_revision(entry: Entry) -> int | None:
    """Return the revision to watch after, or None before any response."""
    if not entry.store_read.has_answered:
        return None
    return entry.newest.head.revision if entry.newest else ABSENT_REVISION


def handle_head(
    state: DocumentsState,
    name: DocumentName,
    head: StoredHead,
) -> None:
    """Handle a head from the store, and read its missing chunks."""
    entry = state.entries.get(name)
    if entry is None:
        return
    summary = state.read_head(name, head.content)
    if summary is None:
        log_refusal(state, name, 'head in the store is malformed')
        schedule_retry(state, name)
        return
    if summary.version <= entry.version:
        record_confirmation(state, entry)
        return
    available = _local_chunks(entry)
    missing = tuple(
        digest for digest in summary.digests if digest not in available
    )
    entry.store_read.head = head
    if missing:
        _read_chunks(state, name, missing)
    else:
        handle_chunks(state, ChunksRead(name, {}))


def _read_chunks(
    state: DocumentsState,
    name: DocumentName,
    missing: tuple[Digest, ...],
) -> None:
    if state.budget.take(state.now, len(missing)):
        state.effects.append(ReadChunks(name, missing))
    else:
        schedule_retry(state, name)


def _local_chunks(entry: Entry) -> dict[Digest, bytes]:
    return dict(entry.newest.chunks) if entry.newest else {}


def handle_chunks(state: DocumentsState, event: ChunksRead) -> None:
    """Adopt a head from the store with its chunks."""
    entry = state.entries.get(event.name)
    if entry is None or entry.store_read.head is None:
        return
    read = {digest_of(chunk): chunk for chunk in event.chunks.values()}
    chunks = _local_chunks(entry) | read
    try:
        document = assemble_document(
            state.read_head, event.name, entry.store_read.head, chunks
        )
    except ValueError as error:
        log_refusal(state, event.name, str(error))
        schedule_retry(state, event.name)
        return
    entry.store_read = StoreRead(has_answered=True)
    adopt(state, document, Source.STORE, state.now)


def record_confirmation(state: DocumentsState, entry: Entry) -> None:
    """Record that the store responded and has no newer version."""
    entry.store_read = StoreRead(has_answered=True)
    entry.confirmed_at = state.now
    if entry.newest:
        entry.source = Source.STORE


def schedule_retry(state: DocumentsState, name: DocumentName) -> None:
    """Schedule the next store read after an exponential back-off."""
    entry = state.entries.get(name)
    if entry is None:
        return
    settings = state.settings
    pause = max(entry.store_read.backoff_s, settings.store_retry_s)
    entry.store_read = StoreRead(
        retry_at=state.now + pause * (1 + state.draw()) / 2,
        backoff_s=min(2 * pause, settings.store_retry_max_s),
        has_answered=entry.store_read.has_answered,
    )
