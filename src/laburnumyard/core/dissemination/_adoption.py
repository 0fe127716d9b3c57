"""Adoption of a new version and its announcement to peers."""

from collections.abc import Iterable

import xxhash

from laburnumyard.core.dissemination._document import Document, Source
from laburnumyard.core.dissemination._effects import Adopt, LogRejected, Send
from laburnumyard.core.dissemination._state import DocumentsState
from laburnumyard.core.ids import DaemonName
from laburnumyard.schema._generated import messages

MS_PER_S = 1000


def adopt(
    state: DocumentsState,
    document: Document,
    source: Source,
    confirmed_at: float | None,
) -> bool:
    """Activate and announce a version if it is newer than the current one."""
    entry = state.entries.get(document.name)
    if entry is None or document.version <= entry.version:
        return False
    entry.history.append(document)
    entry.source = source
    entry.confirmed_at = confirmed_at
    entry.patches.clear()
    if entry.download and entry.download.version <= document.version:
        entry.download = None
    state.effects.append(Adopt(document, source))
    announce(state, document)
    return True


def announce(state: DocumentsState, document: Document) -> None:
    """Announce a new version to random peers, most in the same data centre."""
    settings = state.settings
    chosen = draw_peers(state, state.peers.near, settings.local_fanout)
    chosen |= draw_peers(state, state.peers.far, settings.remote_fanout)
    versions = messages.Versions(
        documents=(version_of(state, document),),
        reply=False,
    )
    for daemon in sorted(chosen):
        state.effects.append(Send(daemon, versions))


def draw_peers(
    state: DocumentsState,
    candidates: tuple[DaemonName, ...],
    count: int,
) -> set[DaemonName]:
    """Draw up to `count` random peers."""
    if len(candidates) <= count:
        return set(candidates)
    chosen: set[DaemonName] = set()
    while len(chosen) < count:
        chosen.add(candidates[int(state.draw() * len(candidates))])
    return chosen


def version_of(
    state: DocumentsState,
    document: Document,
) -> messages.DocumentVersion:
    """Return the announcement of a version."""
    confirmed_at = state.entries[document.name].confirmed_at
    age = 0 if confirmed_at is None else state.now - confirmed_at
    is_recent = age <= state.settings.confirmation_ttl_s
    return messages.DocumentVersion(
        name=document.name,
        version=document.version,
        confirmed=confirmed_at is not None and is_recent,
        confirmed_age_ms=round(age * MS_PER_S) if is_recent else 0,
    )


def send_versions(
    state: DocumentsState,
    daemons: Iterable[DaemonName],
    *,
    reply: bool,
) -> None:
    """Send the versions of all documents to other daemons."""
    documents = tuple(
        version_of(state, entry.newest)
        for entry in state.entries.values()
        if entry.newest
    )
    versions = messages.Versions(documents=documents, reply=reply)
    for daemon in daemons:
        state.effects.append(Send(daemon, versions))


def own_digest(state: DocumentsState) -> int:
    """Return the digest of the versions that this daemon holds."""
    versions = '\n'.join(
        f'{name} {entry.version}'
        for name, entry in sorted(state.entries.items())
        if entry.version
    )
    return xxhash.xxh3_64_intdigest(versions.encode())


def log_refusal(state: DocumentsState, document: str, reason: str) -> None:
    """Request a log line for a rejected document."""
    state.effects.append(LogRejected(document, reason))
