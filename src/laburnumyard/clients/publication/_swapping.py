"""Writes of a publication; a lost response is resolved by reading."""

from enum import Enum
from functools import partial

from expression import Error, Ok, Result

from laburnumyard.clients.publication._errors import (
    PublishError,
    map_store_error,
)
from laburnumyard.clients.publication._reading import (
    StoredHead,
    read_head,
    read_history_entry,
)
from laburnumyard.clients.publication._store import Store, StoreErrorKind
from laburnumyard.core.configuration import (
    HEAD_KEY,
    ConfigurationHead,
    EncodedConfiguration,
    chunk_key,
    decode_head,
    encode_head,
    history_key,
)
from laburnumyard.core.ids import ChangeId

_SWAP_ATTEMPTS = 3


class Outcome(Enum):
    """Known outcome of the compare-and-swap of a head."""

    APPLIED = 'applied'
    # Another publication has the version, so the swap can no longer apply.
    SUPERSEDED = 'lost'
    UNKNOWN = 'unknown'


async def write_history_entry(
    store: Store,
    head: ConfigurationHead,
) -> Result[None, PublishError]:
    """Write the history entry of a head unless it exists.

    Parameters
    ----------
    store
        The store's client.
    head
        A current or earlier head.

    Returns
    -------
    Result
        None once the entry is stored.
    """
    key = history_key(head.version)
    return await _write_once(store, key, encode_head(head))


async def write_chunks(
    store: Store,
    encoded: EncodedConfiguration,
) -> Result[None, PublishError]:
    """Write the chunks of a configuration that do not exist yet.

    Parameters
    ----------
    store
        The store's client.
    encoded
        The encoded configuration with its chunks by digest.

    Returns
    -------
    Result
        None once all chunks are stored.
    """
    for digest, content in encoded.chunks.items():
        written = await _write_once(store, chunk_key(digest), content)
        if written.is_error():
            return written
    return Ok(None)


async def _write_once(
    store: Store,
    key: str,
    content: bytes,
) -> Result[None, PublishError]:
    answer = await store.swap(key, content, None, partial(_equal, content))
    if answer.is_ok() or answer.error.kind is StoreErrorKind.CONFLICT:
        return Ok(None)
    return Error(map_store_error(answer.error))


async def swap_head(
    store: Store,
    head: ConfigurationHead,
    base: StoredHead | None,
) -> Outcome:
    """Replace the head of the configuration by compare-and-swap.

    The swap is attempted up to 3 times while its outcome is unknown: it
    expects the revision of its base, so it is applied at most once.

    Parameters
    ----------
    store
        The store's client.
    head
        The new head.
    base
        The head to replace; None if there is none.

    Returns
    -------
    Outcome
        The outcome from the response, or from reading the store again.
    """
    for _ in range(_SWAP_ATTEMPTS):
        answer = await store.swap(
            HEAD_KEY,
            encode_head(head),
            base.revision if base else None,
            partial(_has_change, head.change_id),
        )
        if answer.is_ok():
            return Outcome.APPLIED
        outcome = await _resolve_outcome(store, head)
        if outcome is not Outcome.UNKNOWN:
            return outcome
    return Outcome.UNKNOWN


async def _resolve_outcome(store: Store, head: ConfigurationHead) -> Outcome:
    current = await read_head(store)
    if current.is_error() or current.ok is None:
        return Outcome.UNKNOWN
    found = current.ok.head
    # A delayed swap may still replace an older head.
    if found.version < head.version:
        return Outcome.UNKNOWN
    if found.version > head.version:
        return await _resolve_from_history(store, head)
    return _compare(head, found)


async def _resolve_from_history(
    store: Store, head: ConfigurationHead
) -> Outcome:
    entry = await read_history_entry(store, head.version)
    if entry.is_error() or entry.ok is None:
        return Outcome.UNKNOWN
    return _compare(head, entry.ok)


def _compare(head: ConfigurationHead, found: ConfigurationHead) -> Outcome:
    if found.change_id == head.change_id:
        return Outcome.APPLIED
    return Outcome.SUPERSEDED


def _equal(content: bytes, found: bytes) -> bool:
    return content == found


def _has_change(change_id: ChangeId, found: bytes) -> bool:
    head = decode_head(found)
    return head.is_ok() and head.ok.change_id == change_id
