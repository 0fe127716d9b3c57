"""The writes of a publication, settled where their answers are lost."""

from enum import Enum
from functools import partial

from expression import Error, Ok, Result

from laburnumyard.clients.publication._errors import (
    PublishError,
    unreachable,
)
from laburnumyard.clients.publication._reading import (
    StoredHead,
    read_entry,
    read_head,
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

# How often a swap without a definite answer is made again.
_SWAP_ATTEMPTS = 3


class Outcome(Enum):
    """What is known of the swap of a head."""

    APPLIED = 'applied'
    # Another publication took the version, so the swap can't apply any more.
    LOST = 'lost'
    UNKNOWN = 'unknown'


async def write_entry(
    store: Store,
    head: ConfigurationHead,
) -> Result[None, PublishError]:
    """Write a head's entry of the history, unless it is there already.

    Parameters
    ----------
    store
        The store's client.
    head
        A head that is or was in force.

    Returns
    -------
    Result
        None once the entry is there.
    """
    key = history_key(head.version)
    return await _write_once(store, key, encode_head(head))


async def write_chunks(
    store: Store,
    encoded: EncodedConfiguration,
) -> Result[None, PublishError]:
    """Write the chunks of a configuration that are not there already.

    Parameters
    ----------
    store
        The store's client.
    encoded
        The chunks.

    Returns
    -------
    Result
        None once all chunks are there.
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
    return Error(unreachable(answer.error))


async def swap_head(
    store: Store,
    head: ConfigurationHead,
    base: StoredHead | None,
) -> Outcome:
    """Replace the head of the configuration.

    The same swap is sent again while nothing definite is known: it names the
    revision of its base, so it applies once at most.

    Parameters
    ----------
    store
        The store's client.
    head
        The new head.
    base
        The head that it replaces; None where there was none.

    Returns
    -------
    Outcome
        What the store told, or showed when it was read again.
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
        outcome = await _settle(store, head)
        if outcome is not Outcome.UNKNOWN:
            return outcome
    return Outcome.UNKNOWN


async def _settle(store: Store, head: ConfigurationHead) -> Outcome:
    current = await read_head(store)
    if current.is_error() or current.ok is None:
        return Outcome.UNKNOWN
    found = current.ok.head
    # An older head may still be replaced by a swap that is on its way.
    if found.version < head.version:
        return Outcome.UNKNOWN
    if found.version > head.version:
        return await _settle_by_history(store, head)
    return _compare(head, found)


async def _settle_by_history(store: Store, head: ConfigurationHead) -> Outcome:
    entry = await read_entry(store, head.version)
    if entry.is_error() or entry.ok is None:
        return Outcome.UNKNOWN
    return _compare(head, entry.ok)


def _compare(head: ConfigurationHead, found: ConfigurationHead) -> Outcome:
    if found.change_id == head.change_id:
        return Outcome.APPLIED
    return Outcome.LOST


def _equal(content: bytes, found: bytes) -> bool:
    return content == found


def _has_change(change_id: ChangeId, found: bytes) -> bool:
    head = decode_head(found)
    return head.is_ok() and head.ok.change_id == change_id
