"""Event handlers of the replicated documents."""

from functools import singledispatch

from laburnumyard.core.dissemination import _events as events
from laburnumyard.core.dissemination import _peer_events as peer_events
from laburnumyard.core.dissemination._adoption import (
    adopt,
    draw_peers,
    own_digest,
    send_versions,
)
from laburnumyard.core.dissemination._document import Source
from laburnumyard.core.dissemination._peer_transfer import (
    handle_announcement,
    handle_part,
    retry_downloads,
    send_part,
)
from laburnumyard.core.dissemination._state import DocumentsState, new_entry
from laburnumyard.core.dissemination._store_reads import (
    handle_chunks,
    handle_head,
    read_store,
    record_confirmation,
    schedule_retry,
)

Event = (
    events.NamesChanged
    | events.PeersChanged
    | events.HeadRead
    | events.HeadUnchanged
    | events.ChunksRead
    | events.StoreFailed
    | events.Published
    | events.Tick
    | peer_events.DigestReceived
    | peer_events.VersionsReceived
    | peer_events.FetchReceived
    | peer_events.PartReceived
)


@singledispatch
def react(event: Event, state: DocumentsState) -> None:
    """Apply one event to the state."""
    raise TypeError(f'unsupported document event: {event!r}')


@react.register
def _(event: events.NamesChanged, state: DocumentsState) -> None:
    retained = state.retired | state.entries
    state.entries = {
        name: retained.pop(name, None) or new_entry() for name in event.names
    }
    state.retired = retained
    state.next_missing_request_at = state.now
    tick(state)


@react.register
def _(event: events.PeersChanged, state: DocumentsState) -> None:
    state.peers = event


@react.register
def _(event: events.HeadRead, state: DocumentsState) -> None:
    handle_head(state, event.name, event.head)
    read_store(state)


@react.register
def _(event: events.HeadUnchanged, state: DocumentsState) -> None:
    entry = state.entries.get(event.name)
    if entry is not None:
        record_confirmation(state, entry)
        read_store(state)


@react.register
def _(event: events.ChunksRead, state: DocumentsState) -> None:
    handle_chunks(state, event)
    read_store(state)


@react.register
def _(event: events.StoreFailed, state: DocumentsState) -> None:
    schedule_retry(state, event.name)


@react.register
def _(event: events.Published, state: DocumentsState) -> None:
    adopt(state, event.document, Source.STORE, state.now)


@react.register
def _(event: events.Tick, state: DocumentsState) -> None:
    tick(state)


def tick(state: DocumentsState) -> None:
    """Run all tasks that are due."""
    if state.store_fallback_at is None:
        wait = state.settings.store_fallback_s * (1 + state.draw())
        state.store_fallback_at = state.now + wait
    read_store(state)
    retry_downloads(state)
    _request_missing_documents(state)
    _sync_with_random_peer(state)


def _request_missing_documents(state: DocumentsState) -> None:
    """Request missing documents from the readers and one random peer."""
    if all(entry.newest for entry in state.entries.values()):
        return
    if state.now < state.next_missing_request_at:
        return
    state.next_missing_request_at = (
        state.now + state.settings.missing_request_interval_s
    )
    others = (*state.peers.near, *state.peers.far)
    asked = draw_peers(state, others, 1)
    asked.update(state.peers.readers)
    send_versions(state, sorted(asked), reply=True)


def _sync_with_random_peer(state: DocumentsState) -> None:
    if state.now < state.next_sync_at:
        return
    interval = state.settings.sync_interval_s
    state.next_sync_at = state.now + interval * (1 + 2 * state.draw()) / 2
    others = (*state.peers.near, *state.peers.far)
    send_versions(state, draw_peers(state, others, 1), reply=True)


@react.register
def _(event: peer_events.DigestReceived, state: DocumentsState) -> None:
    if (
        event.digest == own_digest(state)
        or state.now < state.next_digest_sync_at
    ):
        return
    state.next_digest_sync_at = state.now + state.settings.digest_interval_s
    send_versions(state, [event.sender], reply=True)


@react.register
def _(event: peer_events.VersionsReceived, state: DocumentsState) -> None:
    for announced in event.versions.documents:
        handle_announcement(state, event.sender, announced)
    if event.versions.reply:
        send_versions(state, [event.sender], reply=False)


@react.register
def _(event: peer_events.FetchReceived, state: DocumentsState) -> None:
    send_part(state, event.sender, event.fetch)


@react.register
def _(event: peer_events.PartReceived, state: DocumentsState) -> None:
    handle_part(state, event.sender, event.part)
