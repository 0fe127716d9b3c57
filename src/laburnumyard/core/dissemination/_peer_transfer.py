"""Transfer of versions between peers in parts."""

from collections import deque

from laburnumyard.core.dissemination._adoption import (
    MS_PER_S,
    adopt,
    log_refusal,
)
from laburnumyard.core.dissemination._document import (
    NO_VERSION,
    DocumentName,
    Source,
)
from laburnumyard.core.dissemination._effects import Send
from laburnumyard.core.dissemination._patches import PatchApplier, make_patch
from laburnumyard.core.dissemination._state import (
    DocumentsState,
    Download,
    Entry,
)
from laburnumyard.core.ids import DaemonName, Version
from laburnumyard.schema._generated import messages

# Peers kept as alternative sources of one download.
MAX_SOURCES = 4
# Restarts before a download is abandoned. A later comparison with a peer starts
# it again if the version exists at all.
MAX_RESTARTS = 8


def handle_announcement(
    state: DocumentsState,
    sender: DaemonName,
    announced: messages.DocumentVersion,
) -> None:
    """Start to download an announced version newer than the active one."""
    name = DocumentName(announced.name)
    entry = state.entries.get(name)
    if entry is None:
        return
    confirmed_at = _confirmation_time(state, announced)
    if announced.version <= entry.version:
        if announced.version == entry.version:
            _record_peer_confirmation(entry, confirmed_at)
        return
    if entry.download is None:
        sources = deque([sender])
        version = Version(announced.version)
        entry.download = Download(version, sources, confirmed_at)
        request_part(state, name, entry.download)
        return
    _add_source(entry.download, sender)
    if announced.version > entry.download.version:
        entry.download.version = Version(announced.version)
        entry.download.confirmed_at = confirmed_at
    elif announced.version == entry.download.version:
        earlier = entry.download.confirmed_at
        entry.download.confirmed_at = earlier or confirmed_at


def _confirmation_time(
    state: DocumentsState,
    announced: messages.DocumentVersion,
) -> float | None:
    """Return when the store confirmed a version, or None if not recently."""
    age = announced.confirmed_age_ms / MS_PER_S
    if not announced.confirmed or age > state.settings.confirmation_ttl_s:
        return None
    return state.now - age


def _record_peer_confirmation(entry: Entry, confirmed_at: float | None) -> None:
    if confirmed_at is None:
        return
    entry.confirmed_at = max(confirmed_at, entry.confirmed_at or confirmed_at)
    if entry.source is Source.PEER:
        entry.source = Source.READER


def _add_source(download: Download, sender: DaemonName) -> None:
    """Add an alternative source; the first source is the one in use."""
    if sender in download.sources:
        return
    if len(download.sources) == MAX_SOURCES:
        download.sources.pop()
    download.sources.append(sender)


def request_part(
    state: DocumentsState,
    name: DocumentName,
    download: Download,
) -> None:
    """Request the next part from the first source."""
    download.asked_at = state.now
    known_version = state.entries[name].version
    if download.needs_full_copy:
        known_version = NO_VERSION
    fetch = messages.FetchDocument(
        name=name,
        known_version=known_version,
        version=download.part_version,
        offset=len(download.collected),
    )
    state.effects.append(Send(download.sources[0], fetch))


def retry_downloads(state: DocumentsState) -> None:
    """Restart downloads whose part timed out, or abandon them."""
    for name, entry in state.entries.items():
        download = entry.download
        if download is None:
            continue
        if state.now - download.asked_at < state.settings.fetch_timeout_s:
            continue
        if download.restarts < MAX_RESTARTS:
            _restart_download(state, name, download)
        else:
            entry.download = None


def _restart_download(
    state: DocumentsState,
    name: DocumentName,
    download: Download,
) -> None:
    """Discard the collected parts and start again from another source.

    Sources hold different patches only if their versions differ, but a peer
    that restarts may change its version during a download.
    """
    download.collected.clear()
    download.part_version = NO_VERSION
    download.restarts += 1
    download.sources.rotate(-1)
    request_part(state, name, download)


def send_part(
    state: DocumentsState,
    sender: DaemonName,
    fetch: messages.FetchDocument,
) -> None:
    """Send one part of the patch to the active version."""
    entry = state.entries.get(DocumentName(fetch.name))
    if entry is None or entry.newest is None:
        return
    base = entry.find_version(fetch.known_version)
    patch = _cached_patch(entry, base.version if base else NO_VERSION)
    is_same = fetch.version in {NO_VERSION, entry.version}
    offset = fetch.offset if is_same and fetch.offset < len(patch) else 0
    part = messages.DocumentPart(
        name=fetch.name,
        version=entry.version,
        base_version=base.version if base else NO_VERSION,
        patch_bytes=len(patch),
        offset=offset,
        content=patch[offset : offset + state.settings.part_bytes],
    )
    state.effects.append(Send(sender, part))


def _cached_patch(entry: Entry, version: Version) -> bytes:
    """Return the patch from a version, computed once for all requests."""
    if version not in entry.patches:
        base = entry.find_version(version)
        entry.patches[version] = make_patch(base, entry.newest)
    return entry.patches[version]


def handle_part(
    state: DocumentsState,
    sender: DaemonName,
    part: messages.DocumentPart,
) -> None:
    """Collect a part, and adopt the version once all have arrived."""
    entry = state.entries.get(DocumentName(part.name))
    if entry is None or entry.download is None:
        return
    download = entry.download
    if sender != download.sources[0] or part.version <= entry.version:
        return
    if part.offset == 0:
        download.collected.clear()
        download.part_version = Version(part.version)
        download.base = entry.find_version(part.base_version)
    if not _is_valid_part(state, entry, part):
        return
    download.collected += part.content
    if len(download.collected) < part.patch_bytes:
        request_part(state, DocumentName(part.name), download)
    else:
        _complete_download(state, entry, DocumentName(part.name))


def _is_valid_part(
    state: DocumentsState,
    entry: Entry,
    part: messages.DocumentPart,
) -> bool:
    download = entry.download
    has_base = download.base is not None or part.base_version == NO_VERSION
    collected = len(download.collected)
    stop = part.offset + len(part.content)
    is_next = part.offset == collected and part.version == download.part_version
    is_bounded = stop <= part.patch_bytes <= state.settings.document_bytes
    return has_base and is_next and is_bounded and bool(part.content)


def _complete_download(
    state: DocumentsState, entry: Entry, name: DocumentName
) -> None:
    download = entry.download
    applier = PatchApplier(state.read_head, state.settings.document_bytes)
    patch = bytes(download.collected)
    try:
        document = applier.apply(name, download.base, patch)
    except ValueError as error:
        log_refusal(state, name, str(error))
        download.needs_full_copy = True
        _restart_download(state, name, download)
        return
    is_newest = document.version == download.version
    confirmed_at = download.confirmed_at if is_newest else None
    source = Source.PEER if confirmed_at is None else Source.READER
    adopt(state, document, source, confirmed_at)
    if entry.download is download:
        _restart_download(state, name, download)
