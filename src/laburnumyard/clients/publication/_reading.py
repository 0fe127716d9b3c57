"""Reads published configurations from the store."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from expression import Error, Ok, Result

from laburnumyard.clients.publication._errors import (
    PublishError,
    PublishErrorKind,
    malformed,
    map_store_error,
)
from laburnumyard.clients.publication._store import Store
from laburnumyard.core.configuration import (
    HEAD_KEY,
    ConfigurationHead,
    EncodedConfiguration,
    PublishedConfiguration,
    chunk_key,
    decode_configuration,
    decode_head,
    history_key,
)
from laburnumyard.core.ids import Version

_NO_CHUNKS: Mapping[str, bytes] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A configuration head and its revision in the store.

    Parameters
    ----------
    head
        The configuration head.
    revision
        The revision that a swap must expect.
    """

    head: ConfigurationHead
    revision: int


async def read_head(store: Store) -> Result[StoredHead | None, PublishError]:
    """Read the head of the current configuration.

    Parameters
    ----------
    store
        The store's client.

    Returns
    -------
    Result
        The head, or None if nothing was ever published.
    """
    return await _read_head_at(store, HEAD_KEY)


async def read_current(
    store: Store,
    known_chunks: Mapping[str, bytes] = _NO_CHUNKS,
) -> Result[PublishedConfiguration | None, PublishError]:
    """Read the current configuration.

    Parameters
    ----------
    store
        The store's client.
    known_chunks
        Cached chunks by digest, which are not read again.

    Returns
    -------
    Result
        The configuration, or None if nothing was ever published.
    """
    return await _read_published(store, HEAD_KEY, known_chunks)


async def read_version(
    store: Store,
    version: Version,
) -> Result[PublishedConfiguration | None, PublishError]:
    """Read the current or an earlier configuration.

    Parameters
    ----------
    store
        The store's client.
    version
        The version to read.

    Returns
    -------
    Result
        The configuration, or None if the history has no such version.
    """
    return await _read_published(store, history_key(version), _NO_CHUNKS)


async def read_history(
    store: Store,
    limit: int,
) -> Result[tuple[ConfigurationHead, ...], PublishError]:
    """Read the publication history, newest first.

    Parameters
    ----------
    store
        The store's client.
    limit
        Maximum number of entries; each entry costs one read.

    Returns
    -------
    Result
        The heads; the current one comes first.
    """
    current = await read_head(store)
    if current.is_error():
        return Error(current.error)
    if current.ok is None:
        return Ok(())
    newest = current.ok.head
    heads = [newest]
    oldest = max(newest.version - limit, 0)
    for version in range(newest.version - 1, oldest, -1):
        entry = await _read_head_at(store, history_key(Version(version)))
        if entry.is_error():
            return Error(entry.error)
        if entry.ok is not None:
            heads.append(entry.ok.head)
    return Ok(tuple(heads))


async def read_history_entry(
    store: Store,
    version: Version,
) -> Result[ConfigurationHead | None, PublishError]:
    """Read the history entry of a version; None if there is none."""
    entry = await _read_head_at(store, history_key(version))
    return entry.map(lambda found: found and found.head)


async def _read_head_at(
    store: Store,
    key: str,
) -> Result[StoredHead | None, PublishError]:
    answer = await store.read(key)
    if answer.is_error():
        return Error(map_store_error(answer.error))
    stored = answer.ok
    if stored is None:
        return Ok(None)
    head = decode_head(stored.content)
    if head.is_error():
        return Error(malformed((head.error,)))
    return Ok(StoredHead(head.ok, stored.revision))


async def _read_published(
    store: Store,
    key: str,
    known_chunks: Mapping[str, bytes],
) -> Result[PublishedConfiguration | None, PublishError]:
    found = await _read_head_at(store, key)
    if found.is_error():
        return Error(found.error)
    if found.ok is None:
        return Ok(None)
    head = found.ok.head
    chunks = await _read_chunks(store, head, known_chunks)
    if chunks.is_error():
        return Error(chunks.error)
    decoded = decode_configuration(EncodedConfiguration(head.files, chunks.ok))
    if decoded.is_error():
        return Error(malformed(decoded.error))
    return Ok(PublishedConfiguration(head, decoded.ok))


async def _read_chunks(
    store: Store,
    head: ConfigurationHead,
    known_chunks: Mapping[str, bytes],
) -> Result[Mapping[str, bytes], PublishError]:
    digests = {digest for item in head.files for digest in item.digests}
    chunks = _pick(known_chunks, digests)
    for digest in sorted(digests - chunks.keys()):
        answer = await store.read(chunk_key(digest))
        if answer.is_error():
            return Error(map_store_error(answer.error))
        if answer.ok is None:
            return Error(_missing_chunk(digest))
        chunks[digest] = answer.ok.content
    return Ok(chunks)


def _pick(
    chunks: Mapping[str, bytes],
    digests: set[str],
) -> dict[str, bytes]:
    return {
        digest: content
        for digest, content in chunks.items()
        if digest in digests
    }


def _missing_chunk(digest: str) -> PublishError:
    detail = f'chunk {digest} is missing; publish the configuration again'
    return PublishError(PublishErrorKind.MALFORMED, detail)
